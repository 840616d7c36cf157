"""Guards against child processes that outlive a demo or a test."""

import pytest

from bilberryrail.standins.processes import (
    Children,
    ProcessError,
    free_ports,
)

LOG = 'bilberryrail.standins.log_service'


def test_children_end_after_an_error():
    """Guards against processes left behind by Ctrl-C."""
    port = free_ports(1)[0]
    with pytest.raises(KeyboardInterrupt), Children() as children:
        child = children.start('log', LOG, '--port', str(port))
        children.wait_until_listening(child, [port])
        raise KeyboardInterrupt
    assert child.process.poll() == 0
    assert not children.directory.exists()


def test_early_end_is_told_with_its_output():
    """Guards against waiting for a process that failed at its start."""
    with Children() as children:
        child = children.start('log', LOG, '--port', 'none')
        with pytest.raises(ProcessError, match='ended early.*(?s:.*)--port'):
            children.wait_until_listening(child, free_ports(1))
