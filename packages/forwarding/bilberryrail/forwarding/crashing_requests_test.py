"""Tests of requests that crash each backend server that begins to run them.

Pattern of load: such a request comes again and again, with the same content, at
any ingress node, beside harmless requests.
"""

from http import HTTPStatus

from bilberryrail.forwarding.fleet_harness_test import CRASHING, Fleet

INGRESSES = ('n1', 'n2', 'n3')
TARGETS = ('a', 'b', 'c', 'd')
#: Interval at which a crashing request comes again, in seconds.
INTERVAL_S = 0.6
#: Time after the third crash from which on nodes have to know the request, in
#: seconds, and how often it may still be sent after that.
STABLE_WINDOW_S = 4.0
MAX_LATE_ARRIVALS = 3
#: Harmless requests per second at each ingress node.
HARMLESS_PER_S = 10
#: Share of harmless requests that must be served beside crashing ones.
MIN_SERVED_SHARE = 0.95


def run_beside(fleet, bodies, duration_s):
    """Send each body again and again, beside harmless requests."""
    for step in range(int(duration_s / INTERVAL_S)):
        for offset, body in enumerate(bodies):
            name = INGRESSES[(step + offset) % len(INGRESSES)]
            fleet.arrive(name, body)
        fleet.run(INTERVAL_S, HARMLESS_PER_S)


def late_arrivals(fleet, body):
    """Count arrivals of a body long enough after its third crash."""
    servers = [node.server for node in fleet.targets.values()]
    crashes = sorted(
        at
        for server in servers
        for at, in_flight in server.crashes
        if body in in_flight
    )
    if len(crashes) < 3:
        return 0
    known_from = crashes[2] + STABLE_WINDOW_S
    return sum(
        at > known_from and arrived == body
        for server in servers
        for at, arrived in server.bodies
    )


def test_crashing_request_is_no_longer_sent_after_its_third_crash():
    # Guards against a request that ends one backend server after the other for
    # as long as it comes, because nobody remembers it (issue 29).
    fleet = Fleet(INGRESSES, TARGETS)
    body = CRASHING
    run_beside(fleet, [body], 20)
    assert late_arrivals(fleet, body) <= MAX_LATE_ARRIVALS


def test_harmless_requests_are_served_beside_a_crashing_one():
    # Guards against an outage of a whole service by one request (issue 29).
    fleet = Fleet(INGRESSES, TARGETS)
    run_beside(fleet, [CRASHING], STABLE_WINDOW_S * 2)
    fleet.harmless_statuses.clear()
    run_beside(fleet, [CRASHING], 12)
    served = fleet.harmless_statuses[HTTPStatus.OK]
    assert served >= MIN_SERVED_SHARE * fleet.harmless_statuses.total()


def test_several_crashing_requests_are_found_at_once():
    # Guards against crashing requests that hide behind each other, because they
    # are in flight at the same backend servers.
    fleet = Fleet(INGRESSES, TARGETS)
    bodies = [CRASHING + bytes((number,)) for number in range(3)]
    run_beside(fleet, bodies, 40)
    for body in bodies:
        assert late_arrivals(fleet, body) <= MAX_LATE_ARRIVALS


def test_crash_of_all_backend_servers_blames_no_harmless_request():
    # Guards against refusing a request that all clients send because it was in
    # flight when all backend servers lost power. They are back after 3 s, and
    # the trial is due 5 s after the last crash.
    fleet = Fleet(INGRESSES, TARGETS)
    fleet.run(5, HARMLESS_PER_S)
    for node in fleet.targets.values():
        node.crash(node.server.instance)
    fleet.run(7, HARMLESS_PER_S)
    fleet.harmless_statuses.clear()
    fleet.run(5, HARMLESS_PER_S)
    served = fleet.harmless_statuses[HTTPStatus.OK]
    assert served >= MIN_SERVED_SHARE * fleet.harmless_statuses.total()


def test_backend_servers_that_crash_one_after_the_other_blame_nobody():
    # Guards against refusing a harmless request that was in flight at several
    # crashes with another cause, although it is answered between them.
    fleet = Fleet(INGRESSES, TARGETS)
    fleet.run(2, HARMLESS_PER_S)
    for _ in range(3):
        for node in fleet.targets.values():
            node.crash(node.server.instance)
            fleet.run(1, HARMLESS_PER_S)
    quarantined = [one.quarantined for one in fleet.ledgers()]
    assert not any(quarantined)
