"""Tests of finding routes and of splits by weight."""

from random import Random

import pytest

from bilberryrail.core.ids import ServiceId
from bilberryrail.forwarding.fixtures_test import route
from bilberryrail.forwarding.records import ConfigVersion, Part, TrafficConfig
from bilberryrail.forwarding.routes import RouteTable, SplitChooser


def table(*routes):
    return RouteTable(TrafficConfig(ConfigVersion(1), routes, {}))


def test_longest_prefix_wins():
    # Guards against a short prefix that hides a more specific route.
    found = table(
        route('short', prefix='/a/'),
        route('long', prefix='/a/b/'),
    ).find('club.example', '/a/b/c')
    assert found.route == 'long'


@pytest.mark.parametrize('host', ['club.example:8080', 'CLUB.example'])
def test_host_is_found_with_port_and_in_any_case(host):
    # Guards against answering 404 to a valid request.
    assert table(route()).find(host, '/courts/7') is not None


@pytest.mark.parametrize(
    ('host', 'path'),
    [('other.example', '/courts/7'), ('club.example', '/court')],
)
def test_other_requests_have_no_route(host, path):
    # Guards against serving requests for which there is no route.
    assert table(route()).find(host, path) is None


def split(*weights):
    parts = tuple(
        Part(ServiceId(f's{index}'), weight)
        for index, weight in enumerate(weights)
    )
    return route(parts=parts)


@pytest.mark.parametrize('weights', [(90, 10), (1, 1, 1), (75, 5, 20)])
@pytest.mark.parametrize('seed', range(5))
def test_short_windows_keep_the_weights(weights, seed):
    # Guards against proportions that hold only over many requests.
    chooser = SplitChooser(Random(seed))
    chosen = [chooser.choose(split(*weights)) for _ in range(200)]
    for start in range(0, 100, 10):
        window = chosen[start : start + 100]
        for index, weight in enumerate(weights):
            share = window.count(ServiceId(f's{index}')) / 100
            assert abs(share - weight / sum(weights)) <= 0.03


def test_new_weights_take_effect_at_once():
    # Guards against credits of an old configuration that distort a new one.
    chooser = SplitChooser(Random(1))
    for _ in range(50):
        chooser.choose(split(99, 1))
    chosen = [chooser.choose(split(1, 99)) for _ in range(100)]
    assert chosen.count(ServiceId('s1')) >= 96
