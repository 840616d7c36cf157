"""Probes: which candidates are asked for their load, and the pool of replies.

The budget has three parts: probes per call sent, probes per second, and bytes
per second. Candidates that are suspected or slow come first, because a probe
is the only way for them to get traffic back.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import Final

from bilberryrail.core.ids import NodeId, Seconds, ServiceId
from bilberryrail.core.load import LoadReport
from bilberryrail.core.records import Member
from bilberryrail.policy.buckets import TokenBucket
from bilberryrail.policy.estimates import EstimateTable
from bilberryrail.policy.routing import Group
from bilberryrail.policy.settings import ProbeSettings

#: Error rate from which a candidate gets hardly any calls.
_FAILING: Final = 0.4
#: Ratio to the fastest of the drawn candidates from which one counts as slow.
_SLOW_RATIO: Final = 3
#: Share of probes that go to other regions. It keeps their estimates from
#: growing old, at a cost of a few bytes per second on the link.
_REMOTE_SHARE: Final = 0.06
#: Candidates drawn to find one that is worth a probe.
_MAX_DRAWS: Final = 4


@dataclass(slots=True)
class PoolEntry:
    """A reply in the pool."""

    received_at: Seconds
    uses: int = 0


@dataclass(frozen=True, slots=True)
class SentProbe:
    """A probe without a reply so far."""

    node: NodeId
    service: ServiceId
    sent_at: Seconds


class Prober:
    """Budget of probes, probes under way and the pool of replies.

    Attributes
    ----------
    messages, bytes_used
        Probes sent, and their bytes together with those of the replies.
    """

    def __init__(
        self,
        settings: ProbeSettings,
        estimates: EstimateTable,
        random: Random,
    ) -> None:
        self.settings = settings
        self.estimates = estimates
        self.random = random
        self.probes_sent = 0
        self.bytes_used = 0
        self.pools: dict[ServiceId, dict[NodeId, PoolEntry]] = {}
        self.sent: dict[int, SentProbe] = {}
        self._per_call = TokenBucket(0, settings.pool_size, level=0)
        self._per_second = TokenBucket(
            settings.probes_per_s,
            max(1, settings.probes_per_s),
            level=1,
        )
        self._bytes = TokenBucket(
            settings.bytes_per_s,
            max(settings.bytes_per_s, settings.bytes_per_probe),
            level=settings.bytes_per_probe,
        )

    def call_sent(self) -> None:
        """Earn the share of a probe that a call allows."""
        self._per_call.add(self.settings.share_of_calls)

    def can_probe(self, now: Seconds) -> bool:
        """Tell whether the budget allows a probe now."""
        return (
            self._per_call.holds(1, now)
            and self._per_second.holds(1, now)
            and self._bytes.holds(self.settings.bytes_per_probe, now)
        )

    def start(self, member: Member, now: Seconds) -> int:
        """Charge the budget for a probe and return its number."""
        self._per_call.take(1, now)
        self._per_second.take(1, now)
        self._bytes.take(self.settings.bytes_per_probe, now)
        self.probes_sent += 1
        self.bytes_used += self.settings.bytes_per_probe
        self.sent[self.probes_sent] = SentProbe(
            member.node, member.service, now
        )
        return self.probes_sent

    def pick(self, group: Group, now: Seconds) -> Member | None:
        """Pick the candidate that most needs a probe."""
        suspect = self.due_suspect(now)
        member = group.by_node.get(suspect) if suspect else None
        if member is not None:
            return member
        members = group.local or group.remote
        if group.remote and self.random.random() < _REMOTE_SHARE:
            members = group.remote
        if not members:
            return None
        drawn = [
            members[int(self.random.random() * len(members))]
            for _ in range(_MAX_DRAWS)
        ]
        drawn = [
            member
            for member in drawn
            if not self.estimates.of(member.node).is_suspected
        ]
        return self._most_urgent(drawn) if drawn else None

    def due_suspect(self, now: Seconds) -> NodeId | None:
        """Name a suspected candidate whose time of avoidance is over."""
        under_way = {probe.node for probe in self.sent.values()}
        for node, estimate in self.estimates.suspects.items():
            due_at = estimate.retry_probe_at
            if due_at is not None and due_at <= now and node not in under_way:
                return node
        return None

    def replied(
        self,
        node: NodeId,
        probe: int,
        load: LoadReport,
        now: Seconds,
    ) -> None:
        """Learn from a reply; a late one is only a sign of life."""
        sent = self.sent.get(probe)
        if sent is None or sent.node != node:
            if node in self.estimates.by_node:
                self.estimates.message_received(node, load, now)
            return
        self.sent.pop(probe)
        self.estimates.replied(node, load, now - sent.sent_at, now)
        if load.draining:
            return
        pool = self.pools.setdefault(sent.service, {})
        pool.pop(node, None)
        while len(pool) >= self.settings.pool_size:
            pool.pop(next(iter(pool)))
        pool[node] = PoolEntry(now)

    def fresh(self, service: ServiceId, now: Seconds) -> tuple[NodeId, ...]:
        """List the nodes whose replies may still be used."""
        pool = self.pools.get(service)
        if not pool:
            return ()
        oldest = now - self.settings.max_age_s
        for node, entry in tuple(pool.items()):
            if entry.received_at < oldest:
                pool.pop(node)
        return tuple(pool)

    def used(self, member: Member) -> None:
        """Count a use of a pool entry and drop it when it is worn out."""
        pool = self.pools.get(member.service, {})
        entry = pool.get(member.node)
        if entry is None:
            return
        entry.uses += 1
        if entry.uses >= self.settings.max_uses:
            pool.pop(member.node)

    def suspect_unanswered(
        self, now: Seconds, timeout_s: float
    ) -> Iterator[NodeId]:
        """Suspect the targets of probes without a reply; name them.

        A target that was heard since the probe was sent is not suspected:
        one message may be lost while it answers calls.
        """
        for probe, sent in tuple(self.sent.items()):
            if now - sent.sent_at < timeout_s:
                break
            self.sent.pop(probe)
            last_message_at = self.estimates.of(sent.node).last_message_at
            if last_message_at is None or last_message_at < sent.sent_at:
                self.estimates.suspect(sent.node, now)
                yield sent.node

    def resumed(self) -> None:
        """Forget probes under way; their replies waited out a pause."""
        self.sent.clear()

    def _most_urgent(self, drawn: list[Member]) -> Member:
        fastest = min(
            self.estimates.of(member.node).latency_s for member in drawn
        )
        for member in drawn:
            estimate = self.estimates.of(member.node)
            slow = estimate.latency_s > fastest * _SLOW_RATIO
            if slow or estimate.error_rate > _FAILING:
                return member
        return drawn[0]
