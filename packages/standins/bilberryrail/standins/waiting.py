"""Waiting on conditions of other processes, with a time limit."""

import time
from collections.abc import Callable

POLL_INTERVAL_S = 0.05


class WaitError(Exception):
    """A condition did not come true in time."""


def wait_until(
    condition: Callable[[], bool],
    what: str,
    timeout_s: float = 10.0,
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    WaitError
        If it does not hold within ``timeout_s`` seconds; names ``what``.
    """
    give_up_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > give_up_at:
            raise WaitError(f'not within {timeout_s} s: {what}')
        time.sleep(POLL_INTERVAL_S)
