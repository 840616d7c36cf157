"""Base of the classes that act on a fleet at random."""

from random import Random
from typing import Any

from twisted.internet.task import deferLater

from bilberryrail.soak.fleet import Fleet


class Driver:
    """Acts on a fleet, and remembers what it did for the report.

    It has random numbers of its own, so that a seed still gives the faults with
    which it once failed when drivers are added.

    Attributes
    ----------
    history
        Time and name of each action, and the host that it concerns.
    """

    def __init__(self, reactor: Any, seed: int, fleet: Fleet) -> None:
        self.reactor = reactor
        self.random = Random(seed)
        self.fleet = fleet
        self.history: list[tuple[float, str, str]] = []

    def remember(self, name: str, host: str = '') -> None:
        """Add an action to the history."""
        self.history.append((self.reactor.seconds(), name, host))

    def pause(self, longest_s: float) -> Any:
        """Return a Deferred that fires within a random time, in seconds."""
        return deferLater(self.reactor, longest_s * self.random.random())
