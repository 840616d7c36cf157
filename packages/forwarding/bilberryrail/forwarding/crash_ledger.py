"""What all nodes know of crashes, and which requests are to blame for them."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from bilberryrail.forwarding.bounds import MAX_CLOCK_LEAD_MS
from bilberryrail.forwarding.records import (
    Clearance,
    CrashRecord,
    Fingerprint,
)
from bilberryrail.forwarding.settings import QuarantineSettings

#: Largest number of crashes that are remembered. The crashes of 600 s are fewer
#: even if each of 100 backend servers crashes every two minutes.
_MAX_CRASHES: Final = 512

#: Largest number of crashes that are told to a node that has just started.
MAX_EVIDENCE: Final = 20

_MS_PER_S: Final = 1000

#: Weight of a crash for a request that was answered shortly before. It is more
#: probably harmless than one that was never answered, but may have become harmful.
_ANSWERED_WEIGHT: Final = 0.5

#: Time of a clearance before all crashes, in milliseconds.
_NEVER_MS: Final = -1


class CrashLedger:
    """Crashes of the backend servers of all nodes.

    Parameters
    ----------
    wall_ms
        Returns the Unix time in milliseconds; the clocks of the nodes differ
        little compared with the time for which crashes are remembered.

    Attributes
    ----------
    crashes
        Crashes that are remembered, oldest first.
    cleared_ms
        Unix time of the newest answer to a suspected request, in milliseconds.
    quarantined
        Requests that must not be sent to a backend server.
    """

    def __init__(
        self, settings: QuarantineSettings, wall_ms: Callable[[], int]
    ) -> None:
        self.settings = settings
        self.wall_ms = wall_ms
        self.crashes: dict[CrashRecord, None] = {}
        self.cleared_ms: dict[Fingerprint, int] = {}
        self.quarantined: frozenset[Fingerprint] = frozenset()
        self._suspected: Mapping[Fingerprint, frozenset[CrashRecord]] = {}

    def merge(
        self,
        crashes: Iterable[CrashRecord],
        clearances: Iterable[Clearance] = (),
    ) -> bool:
        """Add what a node has observed; return whether anything was new."""
        oldest_ms = self._oldest_ms()
        latest_ms = self.wall_ms() + MAX_CLOCK_LEAD_MS
        new_crashes = {
            one: None
            for one in crashes
            if one not in self.crashes and oldest_ms < one.at_ms <= latest_ms
        }
        new_clearances = {
            one.fingerprint: one.at_ms
            for one in clearances
            if self._is_recent(one, oldest_ms, latest_ms)
        }
        if not new_crashes and not new_clearances:
            return False
        self.crashes.update(new_crashes)
        self.cleared_ms.update(new_clearances)
        self._expire(oldest_ms)
        self._suspected = find_suspected(self.crashes, self.cleared_ms)
        self.quarantined = find_quarantined(
            self._suspected, self.settings.crashes
        )
        return True

    def evidence(self) -> tuple[CrashRecord, ...]:
        """Return the crashes for which requests are quarantined.

        They are enough for a node that has just started to quarantine the same
        requests; its own crashes were announced by its earlier process.
        """
        needed = self.settings.crashes
        found = {
            crash: None
            for fingerprint in sorted(self.quarantined)
            for crash in sorted(
                self._suspected[fingerprint], key=lambda one: one.at_ms
            )[-needed:]
        }
        return tuple(found)[-MAX_EVIDENCE:]

    def crash_count(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes that a request is suspected of."""
        return len(self._suspected.get(fingerprint, ()))

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request must not be sent to a backend server."""
        return (
            fingerprint in self.quarantined
            and self.remaining_s(fingerprint) > 0
        )

    def remaining_s(self, fingerprint: Fingerprint) -> float:
        """Return how long the newest crash of a request is remembered."""
        passed_ms = self.wall_ms() - self.last_crash_ms(fingerprint)
        return self.settings.memory_s - passed_ms / _MS_PER_S

    def last_crash_ms(self, fingerprint: Fingerprint) -> int:
        """Return the Unix time of its newest crash, in milliseconds."""
        suspected = self._suspected.get(fingerprint, ())
        return max((one.at_ms for one in suspected), default=_NEVER_MS)

    def _is_recent(
        self, clearance: Clearance, oldest_ms: float, latest_ms: float
    ) -> bool:
        known_ms = self._cleared_ms(clearance.fingerprint)
        return max(oldest_ms, known_ms) < clearance.at_ms <= latest_ms

    def _oldest_ms(self) -> float:
        return self.wall_ms() - self.settings.memory_s * _MS_PER_S

    def _cleared_ms(self, fingerprint: Fingerprint) -> int:
        return self.cleared_ms.get(fingerprint, _NEVER_MS)

    def _expire(self, oldest_ms: float) -> None:
        """Forget what is too old, and the oldest crashes beyond the limit."""
        recent = [one for one in self.crashes if one.at_ms > oldest_ms]
        recent.sort(key=lambda one: one.at_ms)
        self.crashes = dict.fromkeys(recent[-_MAX_CRASHES:])
        self.cleared_ms = {
            fingerprint: at_ms
            for fingerprint, at_ms in self.cleared_ms.items()
            if at_ms > oldest_ms
        }


def find_suspected(
    crashes: Iterable[CrashRecord],
    cleared_ms: Mapping[Fingerprint, int],
) -> dict[Fingerprint, frozenset[CrashRecord]]:
    """Return the crashes that each request is suspected of.

    A request that has been answered since a crash is not to blame for it,
    because a crashing request is never answered.
    """
    found: dict[Fingerprint, set[CrashRecord]] = defaultdict(set)
    for crash in crashes:
        for suspect in crash.suspects:
            if crash.at_ms > cleared_ms.get(suspect, _NEVER_MS):
                found[suspect].add(crash)
    return {one: frozenset(seen) for one, seen in found.items()}


def find_quarantined(
    suspected: Mapping[Fingerprint, frozenset[CrashRecord]],
    min_crashes: int,
) -> frozenset[Fingerprint]:
    """Return the requests that are to blame for crashes.

    The request with most crashes is to blame for all of these. Others that were
    in flight there too are only to blame if there is a further crash that none
    of those found before explains.
    """
    suspects = {
        suspect: crashes
        for suspect, crashes in suspected.items()
        if _weight(suspect, crashes) >= min_crashes
    }
    found: set[Fingerprint] = set()
    explained: set[CrashRecord] = set()
    while True:
        counts = {
            suspect: len(crashes - explained)
            for suspect, crashes in suspects.items()
        }
        most = max(counts.values(), default=0)
        if not most:
            return frozenset(found)
        blamed = [one for one, count in counts.items() if count == most]
        found.update(blamed)
        explained.update(*(suspects[one] for one in blamed))


def _weight(suspect: Fingerprint, crashes: Iterable[CrashRecord]) -> float:
    return sum(
        _ANSWERED_WEIGHT if suspect in crash.answered else 1
        for crash in crashes
    )
