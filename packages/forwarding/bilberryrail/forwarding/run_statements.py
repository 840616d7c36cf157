"""What the runs of the backend server beside a node have stated."""

import math
from dataclasses import dataclass
from typing import Any, Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.bounds import Rate
from bilberryrail.forwarding.load_report import Notice
from bilberryrail.forwarding.records import BackendRun, InstanceId
from bilberryrail.forwarding.stated_rate import StatedRate

#: Largest number of instances whose departure, or whose statements to an
#: earlier process, are remembered.
_MAX_REMEMBERED: Final = 64


@dataclass(frozen=True, slots=True)
class KnownRun:
    """What another node knows that a run of a backend server has stated.

    Attributes
    ----------
    rate_limit
        Requests per second that it accepts; infinite if it states no limit.
    has_departed
        Whether it has announced or stated that it leaves.
    """

    run: BackendRun
    rate_limit: Rate = math.inf
    has_departed: bool = False


class RunStatements:
    """Statements of the present run, and departures of all runs.

    A process that has just started has heard nothing of its backend server.
    Other nodes tell it what the run has stated to the process before it; this
    holds until the run states something itself.

    Attributes
    ----------
    run
        The present run; None if no backend server is known.
    notice
        What the run has stated last in an answer; None if this process has read
        no answer of it.
    rate
        Keeps the requests within the stated limit.
    departed
        Instances that have left, with the start time (Unix time in
        milliseconds) of the run that did so; zero if it is not known.
    recalled
        What other nodes have told about instances.
    """

    def __init__(self) -> None:
        self.run: BackendRun | None = None
        self.notice: Notice | None = None
        self.rate = StatedRate()
        self.departed: dict[InstanceId, int] = {}
        self.recalled: dict[InstanceId, KnownRun] = {}

    @property
    def known_rate_limit(self) -> float | None:
        """Limit of the present run; None if nothing is known of it."""
        is_unknown = self.notice is None and math.isinf(self.rate.per_s)
        return None if is_unknown else self.rate.per_s

    def run_started(self, run: BackendRun, now: Seconds) -> None:
        """Forget the statements of the run before."""
        self.run = run
        self.notice = None
        self.rate = StatedRate()
        self._apply_recalled(now)

    def noticed(self, notice: Notice, now: Seconds) -> None:
        """Apply a statement of the present run."""
        self.notice = notice
        self.rate.state(notice.rate_limit, now)

    def recall(self, known: KnownRun, now: Seconds) -> None:
        """Apply what another node knows, now or when the run is identified."""
        instance = known.run.instance
        if known.has_departed:
            self.left(known.run)
        self.recalled[instance] = known
        _limit_size(self.recalled)
        self._apply_recalled(now)

    def left(self, run: BackendRun) -> None:
        """Record that a run has announced or stated its departure."""
        before_ms = self.departed.get(run.instance, 0)
        self.departed[run.instance] = max(run.born_ms, before_ms)
        _limit_size(self.departed)

    def has_left(self, run: BackendRun) -> bool:
        """Return whether a run has announced or stated its departure."""
        left_ms = self.departed.get(run.instance)
        if left_ms is None:
            return False
        return run.born_ms <= left_ms or not left_ms

    def _apply_recalled(self, now: Seconds) -> None:
        if self.run is None or self.notice is not None:
            return
        known = self.recalled.get(self.run.instance)
        if known is not None and known.run.is_same_as(self.run):
            self.rate.state(min(known.rate_limit, self.rate.per_s), now)


def _limit_size(remembered: dict[InstanceId, Any]) -> None:
    """Drop the oldest entries beyond the limit."""
    while len(remembered) > _MAX_REMEMBERED:
        remembered.pop(next(iter(remembered)))
