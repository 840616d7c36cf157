"""Base of the classes that act on a fleet at random."""

from random import Random
from typing import Any

from twisted.internet.task import deferLater

from bilberryrail.forwarding.records import HttpRequest
from bilberryrail.gateway.answer_reader import RawAnswer
from bilberryrail.gateway.http_channel import ChannelError, HttpChannel
from bilberryrail.gateway.settings import Address
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

    async def send(
        self, address: Address, request: HttpRequest, timeout_s: float
    ) -> RawAnswer | ChannelError:
        """Send a request over a connection of its own; return what comes."""
        channel = HttpChannel(
            self.reactor, address.host, address.port, timeout_s
        )
        try:
            raw = await channel.request(
                request.method,
                request.target,
                request.headers,
                request.body,
                timeout_s,
            )
        except ChannelError as error:
            return error
        channel.close()
        return raw

    def pause(self, longest_s: float) -> Any:
        """Return a Deferred that fires within a random time, in seconds."""
        return deferLater(self.reactor, longest_s * self.random.random())
