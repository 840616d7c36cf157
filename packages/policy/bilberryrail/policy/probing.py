"""Selection and budget of load probes, and the pool of their replies.

The budget has three parts: probes per call sent, probes per second, and bytes
per second. Candidates that are suspected or slow are probed first, because
only the reply to a probe makes them receive calls again.
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

#: Error rate above which a candidate gets hardly any calls.
_FAILING: Final = 0.4
#: Ratio of a candidate's latency to that of the fastest drawn candidate above
#: which it counts as slow.
_SLOW_RATIO: Final = 3
#: Share of probes that go to other regions. They keep the estimates of these
#: regions up to date, at a cost of a few bytes per second on the link.
_REMOTE_SHARE: Final = 0.06
#: Number of random candidates among which the most urgent one is probed.
_MAX_DRAWS: Final = 4


@dataclass(slots=True)
class PoolEntry:
    """A probe reply in the pool, and the number of calls it was used for."""

    received_at: Seconds
    uses: int = 0


@dataclass(frozen=True, slots=True)
class SentProbe:
    """A probe whose reply has not arrived yet."""

    node: NodeId
    service: ServiceId
    sent_at: Seconds


class Prober:
    """Manages the probe budget, probes in flight and the pool of replies.

    Attributes
    ----------
    probes_sent, bytes_used
        Number of probes sent, and bytes of the probes and their replies.
    pools
        Replies that may still be used, by service and node.
    sent
        Probes in flight, by number.
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
        """Add the share of a probe that a sent call allows to the budget."""
        self._per_call.add(self.settings.share_of_calls)

    def can_probe(self, now: Seconds) -> bool:
        """Return whether the budget allows a probe now."""
        return (
            self._per_call.can_take(1, now)
            and self._per_second.can_take(1, now)
            and self._bytes.can_take(self.settings.bytes_per_probe, now)
        )

    def start(self, member: Member, now: Seconds) -> int:
        """Take a probe from the budget and return the probe's number."""
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
        """Return the candidate to probe next; None if there is none."""
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
        """Return a suspected candidate whose backoff has ended, if any."""
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
        """Update the estimate and the pool after a reply.

        A late reply only ends the suspicion of its sender and updates its
        load report.
        """
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
        """Return the nodes whose replies are fresh; drop older replies."""
        pool = self.pools.get(service)
        if not pool:
            return ()
        oldest = now - self.settings.max_age_s
        for node, entry in tuple(pool.items()):
            if entry.received_at < oldest:
                pool.pop(node)
        return tuple(pool)

    def used(self, member: Member) -> None:
        """Count a use of a pool entry; drop it after ``max_uses``."""
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
        """Suspect the targets of unanswered probes and yield them.

        A target from which any message arrived after the probe was sent is
        not suspected, because a single message may be lost while the target
        answers calls.
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
        """Forget probes in flight, because a pause delayed their replies."""
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
