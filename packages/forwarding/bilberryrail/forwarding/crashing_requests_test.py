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
        for at, caused_by in server.crashes
        if caused_by == body
    )
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
