"""Fixtures of the tests of this package."""

import gc

import pytest


@pytest.fixture
def no_collector():
    """Turn the garbage collector off for a test."""
    gc.disable()
    yield
    gc.enable()
