"""Tests of the learned limit of requests at the same time."""

from random import Random

import pytest

from bilberryrail.forwarding.concurrency import LearnedLimit

SLOTS = 12
ASSUMED_SHARE = 0.8


class Server:
    """A backend server whose work slows down above a knee."""

    def __init__(self, knee, slowdown, seed=1):
        self.knee = knee
        self.slowdown = slowdown
        self.random = Random(seed)
        self.learned = LearnedLimit(ASSUMED_SHARE)
        self.usual = 1.0

    def duration(self, running, slots=SLOTS):
        free = self.knee * slots
        over = max(0, running - free) / (slots - free)
        noise = self.random.lognormvariate(0, 0.3)
        return (1 + over * (self.slowdown - 1)) * noise

    def run(self, answers, slots=SLOTS):
        """Serve a load that reaches the limit half of the time."""
        for _ in range(answers):
            limit = self.learned.limit(slots)
            running = min(limit, self.random.randint(1, 2 * limit))
            self.learned.started(running)
            duration = self.duration(running, slots)
            self.learned.answered(running, duration / self.usual)
            alone = duration / self.learned.crowding(running)
            self.usual += 0.03 * (alone - self.usual)
        return self.learned.limit(slots)


@pytest.mark.parametrize(
    ('knee', 'slowdown', 'least', 'most'),
    [
        (0.4, 2.4, 4, 7),
        (0.55, 2.4, 6, 8),
        (0.8, 1.7, 8, 11),
        (0.95, 1.7, 11, 12),
    ],
)
def test_knee_is_found_where_it_lies(knee, slowdown, least, most):
    # Guards against a share of the slots that fits the known deployments only:
    # on one with an early knee 0.24 of the worth was served.
    server = Server(knee, slowdown)
    server.run(3000)
    limits = [server.run(50) for _ in range(40)]
    assert least <= sorted(limits)[20] <= most


def test_without_answers_the_assumed_share_holds():
    # Guards against a node that starts with a limit nobody stated.
    assert LearnedLimit(ASSUMED_SHARE).limit(SLOTS) == 9
    assert LearnedLimit(ASSUMED_SHARE).limit(0) == 1
    assert LearnedLimit(ASSUMED_SHARE).limit(1) == 1


def test_few_answers_move_the_limit_little():
    # Guards against a limit that follows the noise of a moment.
    server = Server(0.8, 1.7)
    before = server.run(2000)
    for _ in range(20):
        server.learned.answered(before, 3.0)
    assert server.learned.limit(SLOTS) >= before - 1


def test_limit_recovers_when_the_knee_moves():
    # Guards against a limit that stays low for ever.
    server = Server(0.4, 2.4)
    low = server.run(3000)
    server.knee = 0.95
    assert server.run(12000) > low + 2


def test_limit_never_exceeds_the_slots():
    # Guards against requests that a full backend server refuses.
    server = Server(0.95, 1.0)
    assert all(server.run(20) <= SLOTS for _ in range(100))


def test_change_of_the_slots_starts_from_the_assumed_share():
    # Guards against the limit of a larger machine on a smaller one.
    server = Server(0.8, 1.7)
    server.run(500)
    assert server.learned.limit(6) == 4
