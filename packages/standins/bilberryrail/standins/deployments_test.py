"""Tests that the deployments agree with the design page."""

from collections import Counter
from types import MappingProxyType

import msgspec
import pytest

from bilberryrail.policy.settings import EngineSettings
from bilberryrail.standins.deployments import (
    DEPLOYMENT_NAMES,
    first_intent,
    load_deployment,
    node_settings,
    plan_deployment,
)

SERVERS = MappingProxyType(
    {
        'tsagaan-tal': {
            'court-status': 6,
            'bookings': 4,
            'invoices': 4,
            'dispatch': 4,
        },
        'anatolian-kettle': {
            'certificate-query': 4,
            'application': 4,
            'seal-issuance': 4,
            'workshop-registry': 4,
        },
    }
)


@pytest.mark.parametrize('name', DEPLOYMENT_NAMES)
def test_sizes_are_right_and_ports_are_unique(name: str):
    """Guards against wrong sizes and two processes on the same port."""
    plan = plan_deployment(load_deployment(name), seed=1)
    placed = Counter(host.identity.service for host in plan.hosts)
    assert placed == SERVERS[name]
    ports = [plan.log_port]
    for host in plan.hosts:
        ports += [host.identity.port, host.identity.http_port]
        ports += [host.backend.port, host.operator_port]
    assert len(set(ports)) == len(ports)


@pytest.mark.parametrize('name', DEPLOYMENT_NAMES)
def test_capacity_suffices_without_any_one_zone(name: str):
    """Guards against a demo that cannot take its zone out.

    The change is refused if the other zones have too little capacity.
    """
    deployment = load_deployment(name)
    plan = plan_deployment(deployment, seed=1)
    for zone in deployment.zones:
        for spec in deployment.services:
            slots = sum(
                host.backend.limits.slots
                for host in plan.hosts
                if host.identity.service == spec.service
                and host.identity.zone != zone
            )
            assert slots >= spec.expected_concurrency


def test_node_settings_and_first_intent_are_valid():
    """Guards against node settings and intents that a node refuses."""
    plan = plan_deployment(load_deployment('tsagaan-tal'), seed=1)
    encoded = msgspec.json.encode(node_settings(plan, plan.hosts[0]))
    settings = msgspec.json.decode(encoded)
    engine = msgspec.convert(settings['engine'], EngineSettings)
    assert engine.identity == plan.hosts[0].identity
    assert len(engine.relay.seeds) == 1
    intent = msgspec.json.decode(
        msgspec.json.encode(first_intent(plan.deployment)),
    )
    assert len(intent['zones']) == 4
    assert intent['services'][0]['limits']['slots'] == 10
