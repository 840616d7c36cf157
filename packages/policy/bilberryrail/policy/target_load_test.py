"""Guards against unfairness and slow reaction under simulated load."""

import heapq
import random
from collections import Counter

from bilberryrail.control.messages import Tick
from bilberryrail.core import records
from bilberryrail.policy import actions
from bilberryrail.policy import target_harness_test as harness

_LIMITS = records.BackendLimits(slots=10, connections=250, cold_slots=2)
_MEAN_S = 0.005


class _Load:
    """Simulates tenants with random calls and a backend server."""

    def __init__(self, rates) -> None:
        self.rng = random.Random(11)
        tenants = tuple(records.TenantConfig(tenant) for tenant in rates)
        self.driver = harness.Driver(
            harness.make_state(_LIMITS, tenants=tenants),
        )
        self.rates = rates
        self.slowness = 1
        self.events = []
        self.offered = Counter()
        self.served = Counter()
        self.limits = []
        for tenant in rates:
            self._push(0, tenant)

    def run(self, duration_s):
        """Advance the clock and carry out the actions of the role."""
        end = self.driver.now + duration_s
        while self.driver.now < end:
            event_at = self.events[0][0]
            wakeup_at = self.driver.role.wakeup_at
            self.driver.now = max(self.driver.now, min(event_at, wakeup_at))
            if wakeup_at < event_at:
                self.driver.handle(Tick())
            else:
                self._step(heapq.heappop(self.events)[2])
            self._carry_out()

    def _step(self, what):
        if isinstance(what, actions.Dispatch):
            self.served[self.driver.ledger.tenant(what.dispatch)] += 1
            self.driver.answer(what.dispatch)
            return
        self.offered[what] += 1
        self.driver.attempt(tenant=what, remaining_s=0.25)
        self._push(self.rng.expovariate(self.rates[what]), what)

    def _carry_out(self):
        for dispatched in self.driver.of(actions.Dispatch):
            spent_s = self.rng.expovariate(1 / _MEAN_S) * self.slowness
            self._push(spent_s, dispatched)
        self.driver.sent.clear()
        now = self.driver.now
        self.limits.append((now, self.driver.role.load(now).limit))

    def _push(self, delay_s, what):
        # The random number breaks ties between events at the same time.
        event = (self.driver.now + delay_s, self.rng.random(), what)
        heapq.heappush(self.events, event)


def _first(load, accepts, since):
    return next(at - since for at, limit in load.limits if accepts(limit))


def test_noisy_tenant_does_not_displace_the_others(record_property):
    """Guards against a tenant with ten times its load that starves others."""
    load = _Load({'noisy': 4000, 'quiet': 400, 'small': 200})
    load.run(5)
    shares = {
        tenant: load.served[tenant] / load.offered[tenant]
        for tenant in load.rates
    }
    record_property('shares', str(shares))
    for tenant in ('quiet', 'small'):
        assert load.served[tenant] * 100 > load.offered[tenant] * 97
    assert sum(load.served.values()) > 5 * 1700


def test_limit_follows_a_sudden_slowdown_and_recovers(record_property):
    """Guards against overload for longer than tens of milliseconds."""
    load = _Load({'club': 1500})
    load.run(5)
    assert load.limits[-1][1] == 10
    load.slowness = 20
    slow_from = load.driver.now
    load.limits.clear()
    load.run(1)
    lowered_s = _first(load, lambda limit: limit <= 5, slow_from)
    load.slowness = 1
    load.limits.clear()
    fast_from = load.driver.now
    load.run(20)
    recovered_s = _first(load, lambda limit: limit == 10, fast_from)
    record_property('lowered_s', lowered_s)
    record_property('recovered_s', recovered_s)
    assert int(lowered_s * 1000) < 60
    assert recovered_s < 15
