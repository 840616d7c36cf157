"""Structured log on standard output, rate-limited and non-blocking."""

import os
import time
from typing import Any, Final

from bilberryrail.core.ids import Seconds
from bilberryrail.core.log_lines import event_line
from bilberryrail.policy.buckets import TokenBucket

#: Maximum rate of lines about requests, in lines per second, and maximum burst.
#: A node of the largest site serves about 60 requests per second, with 4 lines
#: each.
MAX_LINES_PER_S: Final = 300.0
MAX_BURST_LINES: Final = 600.0

#: Interval at which the number of dropped lines is written, in seconds.
REPORT_INTERVAL_S: Final = 5.0


class EventLog:
    """Writes one line for each event.

    Lines about single requests are rate-limited; lines about the process
    itself are not. If the reader of the log does not keep up, lines are dropped
    so that the process never waits.

    Attributes
    ----------
    dropped
        Number of lines that were not written.
    """

    def __init__(self, descriptor: int, clock: Any, node: str) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.node = node
        self.dropped = 0
        self.bucket = TokenBucket(MAX_LINES_PER_S, MAX_BURST_LINES)
        self._reported_at: float = 0
        self._reported_dropped = 0
        os.set_blocking(descriptor, False)

    def request(self, event: str, **fields: object) -> None:
        """Write a line about one request unless the rate limit is exceeded."""
        now = Seconds(self.clock.seconds())
        if self.bucket.take(1, now):
            self.process(event, **fields)
        else:
            self.dropped += 1
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._report(now)

    def process(self, event: str, **fields: object) -> None:
        """Write a line about the process or its view of the other nodes."""
        stamp = f'time={time.time():.3f} node={self.node} '
        line = f'{stamp}{event_line(event, fields)}\n'
        try:
            os.write(self.descriptor, line.encode())
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            # Standard output has been closed by its reader. The error cannot be
            # reported anywhere, so it is only counted.
            self.dropped += 1

    def _report(self, now: Seconds) -> None:
        self._reported_at = now
        if self.dropped > self._reported_dropped:
            lines = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self.process('log_lines_dropped', lines=lines)
