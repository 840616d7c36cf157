"""What the process needs to know of the protocol around it.

Callers, backend servers and the platform may name headers and paths as they
like; an implementation of ``Dialect`` translates them.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from bilberryrail.core.ids import ServiceId
from bilberryrail.forwarding.load_report import (
    HealthResult,
    Heartbeat,
    LoadReport,
)
from bilberryrail.forwarding.records import (
    Header,
    HttpRequest,
    InstanceId,
)


@dataclass(frozen=True, slots=True)
class ClientTerms:
    """What a client says about its request.

    Attributes
    ----------
    request_id
        Id of the client's attempt; empty if it gave none.
    remaining_s
        How long the client waits; None if it did not say.
    """

    request_id: str
    remaining_s: float | None


@dataclass(frozen=True, slots=True)
class BackendTerms:
    """What the process tells a backend server about a request.

    Attributes
    ----------
    instance
        The only instance that may run the request.
    """

    request_id: str
    remaining_s: float
    instance: InstanceId


class Verdict(Enum):
    """What an answer's head says about the request."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    OTHER_INSTANCE = 'other-instance'
    #: A success without the backend server's seal.
    UNSEALED = 'unsealed'
    #: An answer to another request.
    FOREIGN = 'foreign'


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of an answer says."""

    verdict: Verdict
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class Departure:
    """A backend server says that it leaves."""

    instance: InstanceId


class Dialect(Protocol):
    """Translates the protocol of clients, backend servers and the platform."""

    def client_terms(self, request: HttpRequest) -> ClientTerms:
        """Read what a client says about its request."""

    def with_caller(
        self,
        request: HttpRequest,
        caller: ServiceId,
    ) -> HttpRequest:
        """Name the service from which a request comes, whatever it said."""

    def backend_headers(
        self,
        request: HttpRequest,
        terms: BackendTerms,
    ) -> tuple[Header, ...]:
        """Return the headers that a backend server gets."""

    def answer_head(
        self,
        status: int,
        headers: tuple[Header, ...],
        request_id: str,
    ) -> AnswerHead:
        """Judge the head of a backend server's answer."""

    def own_headers(self, request_id: str) -> tuple[Header, ...]:
        """Return headers of an answer that no backend server gave."""

    def health(
        self,
        status: int,
        headers: tuple[Header, ...],
    ) -> HealthResult:
        """Read the answer to a health check."""

    def announcement(
        self,
        request: HttpRequest,
    ) -> Heartbeat | Departure | None:
        """Read what a backend server says about itself; None if unreadable."""

    def is_readiness_check(self, request: HttpRequest) -> bool:
        """Tell whether the platform asks if this process is ready."""
