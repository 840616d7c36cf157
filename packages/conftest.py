"""Runs tests that are coroutines on the reactor that nodes use.

The reactor is installed here, before any test module is imported, because
Twisted installs its default reactor when a module imports one first.
"""

import asyncio
import inspect

import pytest

from bilberryrail.node import reactor

REACTOR = reactor.install()
#: Time limit for one coroutine, in seconds.
COROUTINE_TIMEOUT_S = 20


def run_until_complete(awaited):
    """Run a coroutine to its end on the reactor's event loop."""
    loop = asyncio.get_event_loop()
    return loop.run_until_complete(
        asyncio.wait_for(awaited, COROUTINE_TIMEOUT_S)
    )


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run a test that is a coroutine; leave other tests to pytest."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    arguments = {name: pyfuncitem.funcargs[name] for name in names}
    run_until_complete(pyfuncitem.obj(**arguments))
    return True


@pytest.fixture
def run_coroutine():
    """Return a function with which fixtures run a coroutine to its end."""
    return run_until_complete
