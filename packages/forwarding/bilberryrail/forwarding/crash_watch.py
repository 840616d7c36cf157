"""Finds the requests that may have crashed the backend server of a node."""

import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.bounds import MAX_SUSPECTS
from bilberryrail.forwarding.records import (
    NO_FINGERPRINT,
    BackendRun,
    Fingerprint,
    RouteId,
)
from bilberryrail.forwarding.run_statements import RunStatements
from bilberryrail.forwarding.service_time import Start

#: Time for which answers that a backend server has sent before its end may be
#: read after its connections were reset, in seconds. Connections are read in any
#: order.
_READ_ORDER_S: Final = 0.05

#: Time without a response after which the run may have been replaced by another,
#: in seconds. Health checks are sent every 0.2 s.
_SILENCE_S: Final = 1.0

OnCrashed = Callable[[BackendRun, tuple[Fingerprint, ...]], None]


@dataclass(frozen=True, slots=True)
class RunningRequest:
    """A request that was sent to the backend server and has not ended.

    Attributes
    ----------
    start
        What was known about the host's speed when it was sent.
    """

    route: RouteId
    sent_at: Seconds
    start: Start
    fingerprint: Fingerprint = NO_FINGERPRINT


class CrashWatch:
    """Remembers the requests that were lost since the last response.

    A reset connection alone is no crash: a backend server may break off single
    answers. A crash is known when the backend server refuses connections, or
    when another run has taken its place.

    Parameters
    ----------
    statements
        Tells which runs have announced their departure.
    running
        Requests that are in flight, by number.

    Attributes
    ----------
    on_crashed
        Called with the run that has ended and its suspects: the requests that
        were in flight, without duplicates.
    """

    def __init__(
        self,
        statements: RunStatements,
        running: Mapping[int, RunningRequest],
    ) -> None:
        self.statements = statements
        self.running = running
        self.on_crashed: OnCrashed = _ignore
        self._lost: deque[tuple[Seconds, Fingerprint]] = deque(
            maxlen=MAX_SUSPECTS
        )
        self._ended_run: BackendRun | None = None
        self._responded_at = Seconds(-math.inf)
        self._is_confirmed = False

    def responded(self, now: Seconds) -> None:
        """Record a response; requests lost before it did not crash the run.

        After a silence that is not certain until a heartbeat confirms the run:
        another run may have started under the same id.
        """
        self._ended_run = None
        if now - self._responded_at > _SILENCE_S:
            self._is_confirmed = False
        self._responded_at = now
        if not self._is_confirmed:
            return
        while self._lost and self._lost[0][0] < now - _READ_ORDER_S:
            self._lost.popleft()

    def run_confirmed(self) -> None:
        """Record a heartbeat of the present run."""
        self._is_confirmed = True

    def request_lost(self, number: int, now: Seconds) -> None:
        """Record a request in flight that ends without an answer.

        It has to be called before the request is removed from ``running``.
        """
        request = self.running.get(number)
        if request is not None:
            self._lost.append((now, request.fingerprint))

    def run_ended(self, run: BackendRun | None) -> None:
        """Report that a run has crashed.

        It has not if it had announced its departure, and nobody is suspected if
        no request was in flight.
        """
        suspects = dict.fromkeys(fingerprint for _, fingerprint in self._lost)
        self._lost.clear()
        for request in self.running.values():
            suspects[request.fingerprint] = None
        suspects.pop(NO_FINGERPRINT, None)
        if run is None or run == self._ended_run:
            return
        self._ended_run = run
        if suspects and not self.statements.has_left(run):
            self.on_crashed(run, tuple(suspects)[-MAX_SUSPECTS:])


def _ignore(run: BackendRun, suspects: tuple[Fingerprint, ...]) -> None:
    """Discard a crash; used until a receiver is attached."""
