"""Bounded queue, ordered by deadline per tenant and fair between tenants."""

import bisect
import math
from collections.abc import Mapping
from operator import attrgetter

from bilberryrail.core.ids import Seconds, TenantId
from bilberryrail.policy.work import Work

_by_deadline = attrgetter('deadline')


class DeadlineQueue:
    """Calls that wait for a slot.

    The next call comes from the tenant with the fewest running calls per
    weight. Ties go to the tenant with the lowest virtual time. Each call that
    leaves the queue advances the virtual time of its tenant by 1/weight, so
    that shares follow the weights even if there is only one slot.
    """

    def __init__(self) -> None:
        self._waiting: dict[TenantId, list[Work]] = {}
        self._arrivals: list[Work] = []
        self._virtual_times: dict[TenantId, float] = {}
        self._virtual_time: float = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._arrivals)

    @property
    def next_deadline(self) -> float:
        """Earliest deadline of a waiting call, infinite if there is none."""
        return min(
            (works[0].deadline for works in self._waiting.values()),
            default=math.inf,
        )

    def calls_ahead(self, tenant: TenantId, deadline: Seconds) -> int:
        """Estimate how many calls leave the queue before a new call.

        The queue alternates between tenants, so a tenant with many waiting
        calls hardly delays a call of another tenant.
        """
        own = self._waiting.get(tenant, [])
        position = bisect.bisect_right(own, deadline, key=_by_deadline)
        others = len(self._waiting) - bool(own)
        return min(len(self), position + others * (position + 1))

    def push(
        self,
        work: Work,
        capacity: int,
        in_flight: Mapping[TenantId, int],
    ) -> Work | None:
        """Add a call; return the call that is evicted, if the queue is full.

        The newest call of the tenant with the most waiting and running calls
        per weight is evicted. It may be ``work`` itself.
        """
        waiting = self._waiting.setdefault(work.tenant, [])
        bisect.insort_right(waiting, work, key=_by_deadline)
        self._arrivals.append(work)
        if len(self) <= capacity:
            return None
        return self._evict(in_flight)

    def pop(self, in_flight: Mapping[TenantId, int]) -> Work | None:
        """Remove and return the next call; None if no call waits."""
        if not self._waiting:
            return None
        order = {
            tenant: (
                in_flight.get(tenant, 0) / works[0].weight,
                self._virtual_times.get(tenant, self._virtual_time),
                works[0].deadline,
            )
            for tenant, works in self._waiting.items()
        }
        tenant = min(order, key=order.__getitem__)
        work = self._waiting[tenant][0]
        self._advance_virtual_time(work)
        self.remove(work)
        return work

    def remove(self, work: Work) -> bool:
        """Remove a call; return whether it was waiting."""
        if work not in self._arrivals:
            return False
        self._arrivals.remove(work)
        waiting = self._waiting[work.tenant]
        waiting.remove(work)
        if not waiting:
            self._waiting.pop(work.tenant)
        return True

    def expire(self, now: Seconds) -> tuple[Work, ...]:
        """Remove and return the calls whose deadline has passed."""
        if self.next_deadline > now:
            return ()
        expired = tuple(work for work in self._arrivals if work.deadline <= now)
        for work in expired:
            self.remove(work)
        return expired

    def works(self) -> tuple[Work, ...]:
        """Return the waiting calls, oldest first."""
        return tuple(self._arrivals)

    def clear(self) -> tuple[Work, ...]:
        """Remove and return all calls."""
        works = tuple(self._arrivals)
        self._arrivals.clear()
        self._waiting.clear()
        return works

    def _advance_virtual_time(self, work: Work) -> None:
        virtual_time = max(
            self._virtual_time, self._virtual_times.get(work.tenant, 0)
        )
        self._virtual_time = max(
            self._virtual_time,
            min(
                self._virtual_times.get(tenant, self._virtual_time)
                for tenant in self._waiting
            ),
        )
        self._virtual_times = {
            tenant: later
            for tenant, later in self._virtual_times.items()
            if later > self._virtual_time
        }
        self._virtual_times[work.tenant] = virtual_time + 1 / work.weight

    def _evict(self, in_flight: Mapping[TenantId, int]) -> Work:
        shares = {
            tenant: (len(works) + in_flight.get(tenant, 0)) / works[0].weight
            for tenant, works in self._waiting.items()
        }
        tenant = max(shares, key=shares.__getitem__)
        newest = next(
            work for work in reversed(self._arrivals) if work.tenant == tenant
        )
        self.remove(newest)
        return newest
