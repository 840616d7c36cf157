"""Baselines: routing policies that know only stale load reports.

They send each call directly to a backend server, which queues the calls that
exceed its slots. All load reports are collected every ``REPORT_INTERVAL_S`` and
used until the next collection.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

from bilberryrail.bench.backends import HTTP_OK, FakeBackend
from bilberryrail.bench.calls import DEADLINE_S, Call
from bilberryrail.bench.scheduler import Scheduler
from bilberryrail.bench.topology import CLIENT_LATENCY_S, Deployment
from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    RegionId,
    ServiceId,
)
from bilberryrail.core.load import Outcome

#: Interval between collections of load reports, in seconds.
REPORT_INTERVAL_S = 0.1
#: Delay until ingress hosts learn that an availability zone was taken out or
#: brought back, in seconds.
ZONE_DELAY_S = 1.0


class Policy(Enum):
    """How a baseline chooses a backend server."""

    RANDOM = 'uniform random'
    ROUND_ROBIN = 'round robin'
    LEAST_REPORTED = 'least reported load'
    TWO_CHOICES = 'two random choices'


@dataclass(slots=True)
class Baseline:
    """Balances by one policy over the backend servers of the region."""

    scheduler: Scheduler
    deployment: Deployment
    backends: dict[NodeId, FakeBackend]
    policy: Policy
    random: random.Random
    reported: dict[NodeId, int] = field(default_factory=dict)
    out: set[AvailabilityZoneId] = field(default_factory=set)
    _next_index: count = field(default_factory=count)
    _groups: dict[tuple[ServiceId, RegionId], list[NodeIdentity]] = field(
        default_factory=dict,
    )

    def __post_init__(self) -> None:
        """Group the backend servers and start the collection of reports."""
        for identity in self.deployment.identities():
            key = (identity.service, identity.region)
            self._groups.setdefault(key, []).append(identity)
        self._collect_reports()

    def submit(
        self, call: Call, on_done: Callable[[Outcome, bool], None]
    ) -> None:
        """Send a call to one backend server."""
        group = self._groups[call.service, call.region]
        live = [found for found in group if found.zone not in self.out]
        target = self._choose(live or group)
        hop = CLIENT_LATENCY_S + self.deployment.zone_latency_s / 2
        backend = self.backends[target.node]

        def finished(status: int) -> None:
            self.scheduler.after(
                hop,
                lambda: on_done(Outcome.COMPLETED, status == HTTP_OK),
            )

        self.scheduler.after(hop, lambda: backend.start(call.number, finished))
        # The caller gives up at the deadline, and its call is cancelled.
        self.scheduler.after(DEADLINE_S, lambda: backend.cancel(call.number))

    def take_zone_out(self, zone: AvailabilityZoneId) -> None:
        """Stop new work in a zone once the ingress hosts know of it."""
        self.scheduler.after(ZONE_DELAY_S, lambda: self.out.add(zone))

    def bring_zone_back(self, zone: AvailabilityZoneId) -> None:
        """Allow new work in a zone once the ingress hosts know of it."""
        self.scheduler.after(ZONE_DELAY_S, lambda: self.out.discard(zone))

    def _choose(self, live: list[NodeIdentity]) -> NodeIdentity:
        match self.policy:
            case Policy.RANDOM:
                return self.random.choice(live)
            case Policy.ROUND_ROBIN:
                return live[next(self._next_index) % len(live)]
            case Policy.LEAST_REPORTED:
                return min(live, key=self._load)
            case Policy.TWO_CHOICES:
                pair = self.random.sample(live, min(2, len(live)))
                return min(pair, key=self._load)

    def _load(self, identity: NodeIdentity) -> tuple[int, float]:
        return (self.reported[identity.node], self.random.random())

    def _collect_reports(self) -> None:
        self.reported = {
            node: backend.report().in_flight
            for node, backend in self.backends.items()
        }
        self.scheduler.after(REPORT_INTERVAL_S, self._collect_reports)
