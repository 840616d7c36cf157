"""Spreads the ends of the readers' long polls over time."""

from bisect import bisect
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


class PollSchedule:
    """Waits of one reader's long polls.

    All polls end early, and at the same time, with a change. After that, each
    reader begins with a wait of another length, so that their ends are spread
    evenly from then on.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership

    def wait_s(self, *, is_first: bool) -> float:
        """Return the longest wait of a poll, in seconds.

        Parameters
        ----------
        is_first
            Whether it is the first one after a poll that has ended early.
        """
        membership = self.membership
        readers = expected_readers([membership.own, *membership.others()])
        period_s = min(MAX_WAIT_S, MAX_GAP_S * len(readers))
        if not is_first:
            return period_s
        # A node that is no expected reader takes the place of one.
        place = max(1, bisect(readers, membership.own.node))
        return period_s * place / len(readers)
