"""Runs the tasks of a process so that an unexpected error does not end them."""

from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Final

from twisted.internet.defer import Deferred, ensureDeferred, maybeDeferred
from twisted.python.failure import Failure

#: Pause before a task that has failed starts again, in seconds.
RESTART_S: Final = 1.0

Log = Callable[..., None]


class Supervisor:
    """Runs a coroutine, and starts it again if it fails unexpectedly.

    The task ends when its coroutine returns, or after ``stop``.

    Parameters
    ----------
    make_task
        Creates the coroutine, for the first start and for each restart.

    Attributes
    ----------
    is_stopped
        Whether the task is not started again.
    """

    def __init__(
        self,
        clock: Any,
        make_task: Callable[[], Coroutine[Any, Any, None]],
        log: Log,
    ) -> None:
        self.clock = clock
        self.make_task = make_task
        self.log = log
        self.is_stopped = False

    def start(self) -> None:
        """Start the task."""
        if not self.is_stopped:
            running: Deferred[None] = ensureDeferred(self.make_task())
            running.addErrback(self._failed)

    def stop(self) -> None:
        """Do not start the task again if it fails."""
        self.is_stopped = True

    def _failed(self, failure: Failure) -> None:
        log_failure(self.log, failure)
        self.clock.callLater(RESTART_S, self.start)


class PeriodicTask:
    """Calls a function at a fixed interval, also after it has failed.

    Parameters
    ----------
    function
        Called without arguments; it may return a Deferred.
    """

    def __init__(
        self,
        clock: Any,
        interval_s: float,
        function: Callable[[], object],
        log: Log,
    ) -> None:
        self.clock = clock
        self.interval_s = interval_s
        self.function = function
        self.log = log
        self.timer: Any = None

    def start(self, first_s: float | None = None) -> None:
        """Start the calls.

        Parameters
        ----------
        first_s
            Time until the first call, in seconds; by default the interval.
        """
        delay_s = self.interval_s if first_s is None else first_s
        self.timer = self.clock.callLater(delay_s, self._call)

    def stop(self) -> None:
        """Make no further calls."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def _call(self) -> None:
        self.timer = self.clock.callLater(self.interval_s, self._call)
        guard(self.function, self.log)


def guard(function: Callable[[], object], log: Log) -> None:
    """Call a function; log an error that it raises."""
    called: Deferred[object] = maybeDeferred(function)
    called.addErrback(partial(log_failure, log))


def log_failure(log: Log, failure: Failure) -> None:
    """Log an unexpected error with its traceback."""
    log('task_failed', reason=failure.getTraceback())
