"""Fixtures that run node processes with scripted engines.

Such a node is called a shell: it has all sockets, but no policy.
"""

import asyncio

import pytest
from twisted.internet import reactor

from bilberryrail.bench.raw_http import RawClient
from bilberryrail.bench.shell_harness import (
    node_settings,
    start_pair,
    start_shell,
)


@pytest.fixture
def pair(run_coroutine):
    """Start an ingress and a target, and close them after the test."""
    ingress, target = run_coroutine(start_pair(reactor))
    yield ingress, target
    run_coroutine(ingress.close())
    run_coroutine(target.close())


@pytest.fixture
def ingress(pair):
    """Return the ingress of the pair."""
    return pair[0]


@pytest.fixture
def target(pair):
    """Return the target of the pair."""
    return pair[1]


@pytest.fixture
def client(ingress):
    """Return a client of the ingress."""
    return RawClient(ingress.callers_port)


@pytest.fixture
def shell(run_coroutine):
    """Start a single shell that sends calls to itself."""
    started = run_coroutine(start_shell(node_settings('n1'), reactor, 'n1'))
    yield started
    run_coroutine(started.close())


@pytest.fixture
def until():
    """Return a function that waits for a condition."""
    return wait_until


async def wait_until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.005)
