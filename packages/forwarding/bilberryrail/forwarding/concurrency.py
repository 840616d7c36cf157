"""How many requests a backend server had best run at the same time."""

from dataclasses import dataclass
from typing import Final

#: Answers at one concurrency from which their mean counts.
_LEAST_ANSWERS: Final = 20

#: Answers over which durations at one concurrency are averaged.
_MOST_ANSWERS: Final = 50

#: Largest relative duration of one answer that counts.
_MOST_RATIO: Final = 3.0

#: Exponent with which work is taken to slow down beyond the assumed knee. Above
#: one, more requests at a time bring less until the contrary is measured.
_PRIOR_EXPONENT: Final = 1.5

#: Part of the greatest throughput that is enough: fewer requests at a time
#: answer each of them sooner.
_ENOUGH: Final = 0.93

#: Least part of the slots that is used, whatever was measured.
_LEAST_SHARE: Final = 0.25

#: Answers after which the limit may move by one request.
_ANSWERS_A_STEP: Final = 20

#: Starts at the limit after which one request more is tried.
_STARTS_A_TRIAL: Final = 16


@dataclass(slots=True)
class _Mean:
    """Mean duration at one concurrency, relative to the usual one."""

    ratio: float = 0
    answers: int = 0

    def learn(self, ratio: float) -> None:
        """Take the relative duration of an answer."""
        self.answers = min(self.answers + 1, _MOST_ANSWERS)
        self.ratio += (ratio - self.ratio) / self.answers


@dataclass(slots=True)
class _Level:
    """Neighbouring concurrencies with one relative duration."""

    ratio: float
    answers: int
    members: list[int]


class LearnedLimit:
    """Finds the concurrency beyond which throughput no longer grows.

    Work takes longer the more runs beside it. Up to some number that costs
    little; beyond it, by Little's law, throughput is the concurrency divided by
    the duration and falls once durations grow faster than the concurrency.

    Parameters
    ----------
    assumed_share
        Share of the slots that is used before anything was measured.
    """

    def __init__(self, assumed_share: float) -> None:
        self.assumed_share = assumed_share
        self.means: dict[int, _Mean] = {}
        self._slots = 0
        self._limit = 1
        self._answers = 0
        self._starts = 0
        self._crowding: dict[int, float] = {}

    def crowding(self, running: int) -> float:
        """Return how much longer work takes among so many requests."""
        return self._crowding.get(running, 1.0)

    def limit(self, slots: int) -> int:
        """Return how many requests may run at the same time."""
        if slots != self._slots:
            self._slots = slots
            self._limit = self._assumed()
        is_trial = self._starts and not self._starts % _STARTS_A_TRIAL
        return min(max(1, slots), self._limit + bool(is_trial))

    def started(self, running: int) -> None:
        """Note that a request has started as one of so many."""
        if running >= self._limit:
            self._starts += 1

    def answered(self, running: int, ratio: float) -> None:
        """Take the duration of an answer, relative to the usual one.

        The usual one is that without others beside it.
        """
        mean = self.means.setdefault(running, _Mean())
        mean.learn(min(ratio, _MOST_RATIO))
        self._answers += 1
        if self._answers >= _ANSWERS_A_STEP:
            self._answers = 0
            self._step()

    def _assumed(self) -> int:
        return max(1, int(self._slots * self.assumed_share))

    def _step(self) -> None:
        """Move the limit by one towards the best concurrency."""
        best = self._best()
        self._limit += (best > self._limit) - (best < self._limit)

    def _best(self) -> int:
        """Return the least concurrency with enough throughput."""
        levels = self._levels()
        if not levels:
            return self._assumed()
        self._crowding = {
            running: self._ratio(running, levels) / levels[0].ratio
            for running in range(1, self._slots + 1)
        }
        throughput = {
            running: running / crowding
            for running, crowding in self._crowding.items()
        }
        enough = max(throughput.values()) * _ENOUGH
        least = max(1, int(self._slots * _LEAST_SHARE))
        best = min(
            running for running, rate in throughput.items() if rate >= enough
        )
        return max(least, best)

    def _levels(self) -> list[_Level]:
        """Order what was measured so that durations never fall.

        Fewer requests at a time do not make work slower; where the means say
        so, it is noise, and neighbours are taken together.
        """
        levels: list[_Level] = []
        for running in sorted(self.means):
            mean = self.means[running]
            if mean.answers < _LEAST_ANSWERS or running > self._slots:
                continue
            level = _Level(mean.ratio, mean.answers, [running])
            while levels and levels[-1].ratio >= level.ratio:
                level = _merged(levels.pop(), level)
            levels.append(level)
        return levels

    def _ratio(self, running: int, levels: list[_Level]) -> float:
        """Return the relative duration at a concurrency.

        What was not measured is derived from the nearest one below, or else
        above, by what is assumed.
        """
        nearest = levels[0]
        for level in levels:
            if level.members[0] <= running:
                nearest = level
        known = min(nearest.members, key=lambda member: abs(member - running))
        return nearest.ratio * self._prior(running) / self._prior(known)

    def _prior(self, running: int) -> float:
        share = running / max(1, self._assumed())
        return max(1.0, share) ** _PRIOR_EXPONENT


def _merged(lower: _Level, upper: _Level) -> _Level:
    answers = lower.answers + upper.answers
    total = lower.ratio * lower.answers + upper.ratio * upper.answers
    return _Level(total / answers, answers, lower.members + upper.members)
