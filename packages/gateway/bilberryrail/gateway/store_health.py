"""Tracks whether the store answers."""

from collections.abc import Callable

from bilberryrail.forwarding.records import StoreEra
from bilberryrail.gateway.metrics import Metrics
from bilberryrail.gateway.store import StoreError


class StoreHealth:
    """Outcomes of this node's calls to the store.

    Attributes
    ----------
    is_reachable
        Whether the latest call was answered.
    """

    def __init__(self, metrics: Metrics, log: Callable[..., None]) -> None:
        self.metrics = metrics
        self.log = log
        self.is_reachable = True

    def answered(self, kind: str, era: StoreEra | None = None) -> None:
        """Record an answer, and the store's era if the answer states it."""
        self.metrics.called_store(kind, 'answered')
        if era is not None:
            self.metrics.store_read(era)
        if not self.is_reachable:
            self.is_reachable = True
            self.log('store_regained', call=kind)

    def failed(self, kind: str, error: StoreError) -> None:
        """Record a call that failed."""
        self.metrics.called_store(kind, 'failed')
        if self.is_reachable:
            self.is_reachable = False
            self.log('store_lost', call=kind, reason=str(error))
