"""Spreads the ends of the readers' long polls over time."""

from bisect import bisect
from collections.abc import Callable
from typing import Final

from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.readers import expected_readers

#: Longest wait for new records in one call, in seconds. Each call is paid for.
MAX_WAIT_S: Final = 12.0

#: Time within which the poll of some reader ends, in seconds. If connections to
#: the store carry nothing more although they stay open, that reader notices it
#: and tells the others what it reads over a new connection. A configuration has
#: to be in force within 2.5 s, at the earliest 4 s after the connections fail.
MAX_GAP_S: Final = 1.0

#: Time before its turn in which a reader that has just heard of the store waits
#: for its next turn, in seconds.
MIN_WAIT_S: Final = 0.2

_MS_PER_S: Final = 1000


class PollSchedule:
    """Waits of one reader's long polls.

    The readers take turns by the time of day, whose clocks differ little: the
    poll of each ends at its own time in each period. A common event such as a
    change, which ends all polls, or a fault, which ends some, does not bring
    them into step.

    Parameters
    ----------
    wall_ms
        Returns the Unix time in milliseconds.
    """

    def __init__(
        self, membership: Membership, wall_ms: Callable[[], int]
    ) -> None:
        self.membership = membership
        self.wall_ms = wall_ms

    def wait_s(self) -> float:
        """Return the longest wait of a poll that begins now, in seconds."""
        membership = self.membership
        readers = expected_readers([membership.own, *membership.others()])
        period_s = min(MAX_WAIT_S, MAX_GAP_S * len(readers))
        # A node that is no expected reader shares the turn of one.
        turn_s = period_s * bisect(readers, membership.own.node) / len(readers)
        wait_s = (turn_s - self.wall_ms() / _MS_PER_S) % period_s
        return wait_s if wait_s >= MIN_WAIT_S else wait_s + period_s
