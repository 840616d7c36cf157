"""Pauses between the tries of a call that fails."""

from random import Random
from typing import Final

#: Width of the random factor by which each pause is multiplied, around 1, so
#: that nodes that failed together do not try again together.
JITTER: Final = 0.5


class Backoff:
    """Pauses that double with each failure, up to a maximum.

    Parameters
    ----------
    first_s, max_s
        First and longest pause in seconds, without jitter.
    """

    def __init__(self, random: Random, first_s: float, max_s: float) -> None:
        self.random = random
        self.first_s = first_s
        self.max_s = max_s
        self.pause_s = first_s

    def next_s(self) -> float:
        """Return the pause after a failure, in seconds."""
        pause_s = self.pause_s
        self.pause_s = min(self.max_s, 2 * pause_s)
        return jittered(self.random, pause_s)

    def reset(self) -> None:
        """Start with the first pause again, after a success."""
        self.pause_s = self.first_s


def jittered(random: Random, pause_s: float) -> float:
    """Return a pause multiplied by a random factor."""
    return pause_s * (1 + JITTER * (random.random() - 1 / 2))
