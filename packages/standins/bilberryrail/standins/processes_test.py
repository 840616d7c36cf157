"""Tests that child processes end with the demo or test that started them."""

import pytest

from bilberryrail.standins.processes import (
    Children,
    ProcessError,
    free_ports,
)

LOG = 'bilberryrail.standins.log_service'


def test_children_end_after_an_error():
    """Guards against processes that still run after Ctrl-C."""
    port = free_ports(1)[0]
    with pytest.raises(KeyboardInterrupt), Children() as children:
        child = children.start('log', LOG, '--port', str(port))
        children.wait_until_listening(child, [port])
        raise KeyboardInterrupt
    assert child.process.poll() == 0
    assert not children.directory.exists()


def test_early_end_raises_an_error_with_the_output():
    """Guards against waiting for a process that has failed during its start."""
    with Children() as children:
        child = children.start('log', LOG, '--port', 'none')
        with pytest.raises(ProcessError, match='ended early.*(?s:.*)--port'):
            children.wait_until_listening(child, free_ports(1))
