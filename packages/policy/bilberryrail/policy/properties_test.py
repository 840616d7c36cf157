"""Property-based tests of the ingress with arbitrary sequences of events."""

from collections import Counter
from random import Random

import msgspec
from hypothesis import given, settings, strategies

from bilberryrail.control.messages import LinkDown, LinkUp, OpenLink
from bilberryrail.core.load import Outcome
from bilberryrail.policy import actions, events
from bilberryrail.policy.fakes_test import SETTINGS, Rig, make_view
from bilberryrail.policy.settings import RetrySettings

LEVELS = 27
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ['call', 'token', 'reserve', 'answered', 'not_run', 'unknown']
            + ['invalid', 'link_up', 'link_down', 'leave', 'wait'],
        ),
        strategies.integers(0, 30),
    ),
    max_size=60,
)
TENANTS = ('free', 'both', 'south-only', 'north-only')


class Player:
    """Applies steps to a rig, with one method for each kind of step."""

    def __init__(self, rig, tenants):
        self.rig = rig
        self.tenants = tenants
        self.gone = set()

    def play(self, steps):
        for kind, pick in steps:
            getattr(self, kind)(pick)
        self.rig.wait(3)

    def call(self, pick):
        self.rig.arrive(tenant=self.tenant(pick), deadline_s=0.05 + pick / 50)

    def token(self, pick):
        token = f'south{50 + pick % 3}'
        self.rig.arrive('booking', self.tenant(pick), token=token)

    def reserve(self, pick):
        self.rig.calls += 1
        asked = events.ReservationAsked(
            self.rig.calls,
            'booking',
            self.tenant(pick),
        )
        self.rig.feed(asked)

    def answered(self, pick):
        for sent in self.pick_sent(pick):
            self.rig.answer(sent)

    def not_run(self, pick):
        for sent in self.pick_sent(pick):
            self.rig.refuse(sent, Outcome.NOT_RUN)

    def unknown(self, pick):
        for sent in self.pick_sent(pick):
            self.rig.refuse(sent, Outcome.UNKNOWN)

    def invalid(self, pick):
        for sent in self.pick_sent(pick):
            self.rig.refuse(sent, Outcome.INVALID)

    def link_up(self, pick):
        opened = self.rig.of_type(OpenLink)
        if opened:
            peer = opened[pick % len(opened)].peer
            self.rig.feed(LinkUp(self.rig.view.member(peer)))

    def link_down(self, pick):
        routes = self.rig.routes
        if routes:
            peer = routes[pick % len(routes)]['target']
            self.rig.feed(LinkDown(peer, 'reset'))

    def leave(self, pick):
        call = 1 + pick % max(1, self.rig.calls)
        ended = {end.call for end in self.rig.ends}
        if call <= self.rig.calls and call not in ended:
            self.gone.add(call)
        self.rig.feed(events.CallerGone(call))

    def wait(self, pick):
        self.rig.wait(pick / 100)

    def tenant(self, pick):
        return self.tenants[pick % len(self.tenants)]

    def pick_sent(self, pick):
        """Return a list with one attempt, finished or not; empty if none."""
        sent = self.rig.of_type(
            actions.SendAttempt,
            actions.SendReservation,
        )
        return [sent[pick % len(sent)]] if sent else []


@settings(derandomize=True, max_examples=150, deadline=None)
@given(steps=STEPS, linked=strategies.booleans())
def test_each_call_ends_exactly_once(steps, linked):
    """Guards against lost and duplicate responses in any order of events."""
    rig = Rig(auto_link=linked)
    player = Player(rig, TENANTS)
    player.play(steps)
    ended = Counter(end.call for end in rig.ends)
    ended.update(player.gone)
    assert ended == Counter(range(1, rig.calls + 1))
    assert rig.role.idle
    assert not rig.role.table.attempts
    assert not rig.role.sender.estimates.busy


@settings(derandomize=True, max_examples=100, deadline=None)
@given(steps=STEPS, tenant=strategies.sampled_from(TENANTS[2:]))
def test_home_regions_are_never_left(steps, tenant):
    """Guards against calls, hedges or probes outside the home regions."""
    rig = Rig(view=make_view(local=2, remote=3))
    Player(rig, (tenant,)).play(steps)
    reached = rig.of_type(
        actions.SendAttempt,
        actions.SendReservation,
        actions.SendProbe,
        OpenLink,
    )
    assert all(rig.view.member(to.peer).region == 'south' for to in reached)
    assert tenant == 'south-only' or not reached


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    seed=strategies.integers(0, 10**6),
    budget=strategies.integers(0, 9),
    linked=strategies.booleans(),
)
def test_tree_budget_is_never_exceeded(seed, budget, linked):
    """Guards against attempts that multiply with each of 27 levels."""
    retries = RetrySettings(
        tree_budget=budget,
        max_attempts=4,
        budget_burst=10**6,
    )
    rig = Rig(
        view=make_view(local=12),
        settings=msgspec.structs.replace(SETTINGS, retries=retries),
        auto_link=linked,
    )
    random = Random(seed)
    rig.arrive(deadline_s=60)
    depth = {}
    for sent in _growing(rig, random):
        level = depth.get(sent.call, 1)
        if level < LEVELS:
            rig.ledger.limits[sent.attempt] = sent.limits
            call = rig.arrive(parent=sent.attempt, deadline_s=60)
            depth[call] = level + 1
        if level in {1, LEVELS} or random.getrandbits(1):
            # Every failed attempt may have run, so every retry spends from
            # the budget.
            rig.refuse(sent, Outcome.UNKNOWN)
        if not random.getrandbits(3):
            rig.wait(0.32)
    spent = len(rig.sent) - len({attempt.call for attempt in rig.sent})
    assert spent <= budget
    assert spent or not linked or not budget


def _growing(rig, random):
    """Yield all attempts; links requested meanwhile open or fail."""
    done = 0
    _settle_links(rig, random)
    while done < len(rig.sent):
        yield rig.sent[done]
        done += 1
        _settle_links(rig, random)


def _settle_links(rig, random):
    for peer, is_up in tuple(rig.role.sender.links.items()):
        if is_up:
            continue
        if random.getrandbits(1):
            rig.feed(LinkUp(rig.view.member(peer)))
        else:
            rig.feed(LinkDown(peer, 'refused'))
