"""Runs tests that are coroutines on the node's event loop.

The reactor is installed before any test module can import another one.
"""

import asyncio
import inspect

import pytest

from bilberryrail.node import reactor

REACTOR = reactor.install()
#: Longest time that one coroutine may take, in seconds.
TEST_TIMEOUT_S = 20


def run(awaited):
    """Run a coroutine to its end on the reactor's loop."""
    loop = asyncio.get_event_loop()
    return loop.run_until_complete(asyncio.wait_for(awaited, TEST_TIMEOUT_S))


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run a test that is a coroutine."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    found = {name: pyfuncitem.funcargs[name] for name in names}
    run(pyfuncitem.obj(**found))
    return True


@pytest.fixture
def on_loop():
    """Give fixtures a way to run coroutines."""
    return run
