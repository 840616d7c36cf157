"""Fixtures for tests that start stand-ins as processes."""

from collections.abc import Iterator

import pytest

from bilberryrail.standins.processes import Children


@pytest.fixture
def children() -> Iterator[Children]:
    """Provide a starter of processes that end with the test."""
    with Children() as started:
        yield started
