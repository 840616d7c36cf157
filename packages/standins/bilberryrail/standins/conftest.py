"""Fixtures that start stand-ins on loopback."""

from collections.abc import Iterator

import pytest

from bilberryrail.standins.processes import Children


@pytest.fixture
def children() -> Iterator[Children]:
    """Start processes that are ended after the test."""
    with Children() as started:
        yield started
