"""Reads from the log, at most one at a time."""

from collections.abc import Iterator
from typing import Final

from bilberryrail.control.messages import ReadLog
from bilberryrail.control.settings import RelaySettings
from bilberryrail.core.ids import Offset, Seconds

#: Factor by which a node that is not a regular log reader of its region waits
#: longer between reads, so that a whole region whose parents fail does not
#: flood the log.
FALLBACK_RETRY_FACTOR: Final = 8

_NEVER: Final = Seconds(float('inf'))


class LogReader:
    """Keeps one read outstanding while this node reads the log.

    Attributes
    ----------
    available
        Whether the log answered the last request.
    """

    def __init__(self, settings: RelaySettings) -> None:
        self.settings = settings
        self.available = True
        self.outstanding = False
        self.retry_at = Seconds(float('-inf'))

    @property
    def wakeup_at(self) -> Seconds:
        """Time of the next read after a failed one."""
        return _NEVER if self.outstanding else self.retry_at

    def read(
        self, start: Offset, wait: bool, now: Seconds
    ) -> Iterator[ReadLog]:
        """Start a read unless one is outstanding or a retry is not due yet."""
        if not self.outstanding and now >= self.retry_at:
            self.outstanding = True
            yield ReadLog(start=start, wait=wait and self.available)

    def answered(self) -> None:
        """Record that the log answered a read."""
        self.outstanding = False
        self.available = True
        self.retry_at = Seconds(float('-inf'))

    def pause(self, now: Seconds) -> None:
        """Delay the next read, because the log lacks the records needed."""
        wait_s = self.settings.log_retry_s * FALLBACK_RETRY_FACTOR
        self.retry_at = Seconds(now + wait_s)

    def failed(self, is_fallback_reader: bool, now: Seconds) -> None:
        """Record that a read failed, and schedule the next one."""
        self.outstanding = False
        self.available = False
        factor = FALLBACK_RETRY_FACTOR if is_fallback_reader else 1
        self.retry_at = Seconds(now + self.settings.log_retry_s * factor)
