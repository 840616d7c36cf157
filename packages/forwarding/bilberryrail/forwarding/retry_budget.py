"""Allowance for sending a request to a second backend server."""

from typing import Final

import msgspec

from bilberryrail.core.ids import Seconds, ServiceId
from bilberryrail.policy.buckets import TokenBucket


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """Fleet-wide bound on repeats in a sliding window.

    Attributes
    ----------
    ratio
        Repeats for each request of a service.
    slack
        Repeats beyond the ratio in each window, over all nodes.
    window_s
        Length of the window.
    """

    ratio: float = 0.2
    slack: float = 64
    window_s: float = 10.0


#: Part of the ratio that is used. Nested calls of a repeat count as repeats
#: of the services that they reach, so each service keeps room for them.
RATIO_SHARE: Final = 0.4

#: Part of the slack that the nodes share. A bucket may be spent and filled
#: once in a window, which doubles it.
SLACK_SHARE: Final = 0.35


class RetryBudget:
    """One node's share of the bound, without asking the other nodes.

    Each node takes an equal share of the slack and its own requests' share of
    the ratio, so the sum over all nodes stays below the bound in any window.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self.settings = settings
        self.nodes = 1
        self.buckets: dict[ServiceId, TokenBucket] = {}

    def set_node_count(self, nodes: int) -> None:
        """Share the slack among another number of nodes."""
        if nodes == self.nodes:
            return
        self.nodes = max(1, nodes)
        burst = self._burst()
        for bucket in self.buckets.values():
            bucket.burst = burst
            bucket.rate = burst / self.settings.window_s
            bucket.level = min(bucket.level, burst)

    def deposit(self, service: ServiceId) -> None:
        """Note a request for a service."""
        ratio = self.settings.ratio * RATIO_SHARE
        self._bucket(service).earn(ratio)

    def try_withdraw(self, service: ServiceId, now: Seconds) -> bool:
        """Take the right to one repeat, if there is one."""
        return self._bucket(service).take(1, now)

    def _bucket(self, service: ServiceId) -> TokenBucket:
        bucket = self.buckets.get(service)
        if bucket is None:
            burst = self._burst()
            bucket = TokenBucket(burst / self.settings.window_s, burst, 0)
            self.buckets[service] = bucket
        return bucket

    def _burst(self) -> float:
        share = self.settings.slack * SLACK_SHARE / self.nodes
        return max(1.0, share)
