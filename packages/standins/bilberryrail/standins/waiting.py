"""Waits for conditions that other processes bring about."""

import time
from collections.abc import Callable

POLL_INTERVAL_S = 0.05


class WaitError(Exception):
    """A condition did not become true in time."""


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout_s: float = 10.0,
) -> None:
    """Poll a condition until it is true.

    Parameters
    ----------
    description
        What is waited for; part of the error message.

    Raises
    ------
    WaitError
        If the condition is not true within ``timeout_s`` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise WaitError(f'{description}: not within {timeout_s} s')
        time.sleep(POLL_INTERVAL_S)
