"""Budget for sending a request to a second backend server."""

from typing import Final

import msgspec

from bilberryrail.core.ids import Seconds, ServiceId
from bilberryrail.policy.buckets import TokenBucket


class RetryBudgetSettings(msgspec.Struct, frozen=True):
    """Bound on retries of all nodes together in a sliding window.

    Attributes
    ----------
    ratio
        Retries for each request to a service.
    slack
        Additional retries in each window, over all nodes.
    window_s
        Length of the window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 64
    window_s: float = 10.0


#: Share of the ratio that the nodes use. Nested calls of a retried request
#: count as retries of the services that they reach, so each service keeps a
#: part of its ratio for them.
RATIO_SHARE: Final = 0.4

#: Share of the slack that the nodes divide among themselves. A token bucket may
#: be emptied, refilled and emptied again within one window, which doubles what
#: it allows.
SLACK_SHARE: Final = 0.35


class RetryBudget:
    """One node's share of the bound, kept without asking other nodes.

    Each node has an equal share of the slack, and the ratio of its own
    requests. The sum over all nodes therefore stays below the bound in any
    window.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self.settings = settings
        self.nodes = 1
        self.buckets: dict[ServiceId, TokenBucket] = {}

    def set_node_count(self, nodes: int) -> None:
        """Divide the slack among another number of nodes."""
        if nodes == self.nodes:
            return
        self.nodes = max(1, nodes)
        burst = self._burst()
        for bucket in self.buckets.values():
            bucket.burst = burst
            bucket.rate = burst / self.settings.window_s
            bucket.level = min(bucket.level, burst)

    def deposit(self, service: ServiceId) -> None:
        """Add the tokens for one request to a service."""
        ratio = self.settings.ratio * RATIO_SHARE
        self._bucket(service).earn(ratio)

    def try_withdraw(self, service: ServiceId, now: Seconds) -> bool:
        """Withdraw a token for one retry; return whether there was one."""
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
