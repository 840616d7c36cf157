"""Interface to the protocol of clients, backend servers and the platform.

The names of headers and paths depend on the environment of the process; an
implementation of ``Dialect`` translates them.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from bilberryrail.core.ids import ServiceId
from bilberryrail.forwarding.load_report import (
    HealthResult,
    Heartbeat,
    LoadReport,
    Notice,
)
from bilberryrail.forwarding.records import (
    Header,
    HttpRequest,
    InstanceId,
)


@dataclass(frozen=True, slots=True)
class ClientTerms:
    """What a client states about its request.

    Attributes
    ----------
    request_id
        Id of the client's attempt; empty if the client gave none.
    remaining_s
        Remaining time until the deadline; None if the client states none.
    """

    request_id: str
    remaining_s: float | None


@dataclass(frozen=True, slots=True)
class BackendTerms:
    """What is sent to a backend server about a request.

    Attributes
    ----------
    instance
        The only instance that may run the request.
    """

    request_id: str
    remaining_s: float
    instance: InstanceId


class Verdict(Enum):
    """What the head of an answer means for the request."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    OTHER_INSTANCE = 'other-instance'
    #: A success without the backend server's seal.
    UNSEALED = 'unsealed'
    #: An answer that belongs to another request.
    FOREIGN = 'foreign'
    #: A head that states what excludes each other, or states it twice. It may
    #: consist of the heads of two answers.
    CONTRADICTORY = 'contradictory'


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Interpretation of the head of an answer.

    Attributes
    ----------
    notice
        What the backend server states besides; None if the answer is not known
        to be its own.
    is_identified
        Whether the answer names the request that it belongs to.
    """

    verdict: Verdict
    load: LoadReport | None = None
    notice: Notice | None = None
    is_identified: bool = True


@dataclass(frozen=True, slots=True)
class Departure:
    """Announcement of a backend server instance that it leaves."""

    instance: InstanceId


class Dialect(Protocol):
    """Translates the protocol of clients, backend servers and the platform."""

    def client_terms(self, request: HttpRequest) -> ClientTerms:
        """Return what a client states about its request."""

    def with_caller(
        self,
        request: HttpRequest,
        caller: ServiceId,
    ) -> HttpRequest:
        """Return the request with its caller set to a service.

        A caller that the client has stated is replaced.
        """

    def backend_headers(
        self,
        request: HttpRequest,
        terms: BackendTerms,
    ) -> tuple[Header, ...]:
        """Return the headers that are sent to the backend server."""

    def answer_head(
        self,
        status: int,
        headers: tuple[Header, ...],
        request_id: str,
    ) -> AnswerHead:
        """Interpret the head of a backend server's answer."""

    def own_headers(self, request_id: str) -> tuple[Header, ...]:
        """Return headers for an answer that this process creates itself."""

    def health(
        self,
        status: int,
        headers: tuple[Header, ...],
    ) -> HealthResult:
        """Interpret the answer to a health check."""

    def announcement(
        self,
        request: HttpRequest,
    ) -> Heartbeat | Departure | None:
        """Decode a backend server's announcement; None if it is invalid."""

    def is_readiness_check(self, request: HttpRequest) -> bool:
        """Return whether a request is a readiness check of the platform."""
