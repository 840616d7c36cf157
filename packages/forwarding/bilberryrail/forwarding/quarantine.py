"""Keeps requests that crash backend servers away from them."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import Final

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.crash_ledger import CrashLedger
from bilberryrail.forwarding.records import (
    NO_FINGERPRINT,
    BackendRun,
    Clearance,
    CrashRecord,
    Fingerprint,
)

#: Largest number of answered requests that are remembered; each takes about 200
#: bytes.
_MAX_ANSWERED: Final = 4096

#: Number of crashes from which on an answer is told to all nodes. One crash only
#: has consequences at nodes that have not read an answer since.
_MIN_CRASHES_TO_TELL: Final = 2

#: Time for which an answer makes it less probable that a request causes a crash,
#: in seconds.
RECENTLY_ANSWERED_S: Final = 10.0

_MS_PER_S: Final = 1000


class Permission(Enum):
    """Whether a request may be sent to a backend server."""

    ALLOWED = 'allowed'
    #: It is quarantined, but one is sent to see whether it is harmless.
    TRIAL = 'trial'
    QUARANTINED = 'quarantined'


@dataclass(slots=True)
class Trials:
    """Trials of a quarantined request by this node.

    Attributes
    ----------
    count
        Number of trials.
    at_ms
        Unix time of the last one, in milliseconds.
    """

    count: int = 0
    at_ms: int = 0


class Quarantine:
    """Decides which requests may be sent, by what is known of crashes.

    A request that has been answered before may be quarantined by coincidence,
    for example if all backend servers of its service lose power. One node tries
    it again after a while; the pauses between its trials grow. A request that
    has never been answered is not tried.

    Attributes
    ----------
    is_trial_owner
        Returns whether this node is the one that tries a request.
    on_cleared
        Called with a clearance that all nodes, this one too, have to know.
    """

    def __init__(self, ledger: CrashLedger) -> None:
        self.ledger = ledger
        self.is_trial_owner: Callable[[Fingerprint], bool] = _never
        self.on_cleared: Callable[[Clearance], None] = _ignore
        self._answered_ms: OrderedDict[Fingerprint, int] = OrderedDict()
        self._trials: dict[Fingerprint, Trials] = {}

    def admit(self, fingerprint: Fingerprint) -> Permission:
        """Decide whether a request of a client may be sent.

        A trial counts from then on, whatever becomes of the request.
        """
        if not self.ledger.is_quarantined(fingerprint):
            return Permission.ALLOWED
        if self._is_trial_due(fingerprint):
            trials = self._trials.setdefault(fingerprint, Trials())
            trials.count += 1
            trials.at_ms = self.ledger.wall_ms()
            return Permission.TRIAL
        return Permission.QUARANTINED

    def answered(self, fingerprint: Fingerprint) -> None:
        """Record an answer: the request is not to blame for earlier crashes."""
        if fingerprint == NO_FINGERPRINT:
            return
        now_ms = self.ledger.wall_ms()
        self._answered_ms[fingerprint] = now_ms
        self._answered_ms.move_to_end(fingerprint)
        if len(self._answered_ms) > _MAX_ANSWERED:
            self._answered_ms.popitem(last=False)
        if self.ledger.crash_count(fingerprint) >= _MIN_CRASHES_TO_TELL:
            self._trials.pop(fingerprint, None)
            self.on_cleared(Clearance(fingerprint, now_ms))

    def make_record(
        self, run: BackendRun, suspects: tuple[Fingerprint, ...]
    ) -> CrashRecord:
        """Record a crash that happens now."""
        now_ms = self.ledger.wall_ms()
        since_ms = now_ms - RECENTLY_ANSWERED_S * _MS_PER_S
        answered = tuple(
            suspect
            for suspect in suspects
            if self._answered_ms.get(suspect, 0) > since_ms
        )
        return CrashRecord(run, now_ms, suspects, answered)

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request may have crashed a backend server.

        It has not if this node has read an answer to it since.
        """
        answered_ms = self._answered_ms.get(fingerprint, 0)
        return self.ledger.last_crash_ms(fingerprint) > answered_ms

    def _is_trial_due(self, fingerprint: Fingerprint) -> bool:
        if fingerprint not in self._answered_ms:
            return False
        settings = self.ledger.settings
        trials = self._trials.get(fingerprint, Trials())
        pause_s = settings.trial_s * settings.trial_factor**trials.count
        last_ms = max(self.ledger.last_crash_ms(fingerprint), trials.at_ms)
        is_due = self.ledger.wall_ms() >= last_ms + pause_s * _MS_PER_S
        return is_due and self.is_trial_owner(fingerprint)


def choose_trial_owner(
    fingerprint: Fingerprint, nodes: Iterable[NodeId]
) -> NodeId:
    """Choose the node that tries a request, the same one on all nodes."""
    return min(
        nodes,
        key=lambda node: blake2b(node.encode(), key=fingerprint).digest(),
    )


def _never(fingerprint: Fingerprint) -> bool:
    """Own no trial; used until the nodes are known."""
    return False


def _ignore(clearance: Clearance) -> None:
    """Discard a clearance; used until a receiver is attached."""
