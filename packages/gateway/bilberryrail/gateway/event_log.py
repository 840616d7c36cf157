"""Structured log on standard output: bounded, and never blocking."""

import os
import time
from typing import Any, Final

from bilberryrail.core.ids import Seconds
from bilberryrail.core.log_lines import event_line
from bilberryrail.policy.buckets import TokenBucket

#: Lines a second about requests, and how many of them may come at once. A node
#: of the largest site takes some 60 requests a second, with 4 lines each.
MAX_LINES_PER_S: Final = 300.0
MAX_BURST_LINES: Final = 600.0

#: Interval at which the number of dropped lines is written, in seconds.
REPORT_INTERVAL_S: Final = 5.0


class EventLog:
    """Writes one line for each event.

    Lines about single requests are dropped beyond a rate; lines about the
    process itself are always tried. A reader that does not keep up makes
    lines be dropped, not wait.

    Attributes
    ----------
    dropped
        Lines that were not written.
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
        """Write a line about one request, within the rate."""
        now = Seconds(self.clock.seconds())
        if self.bucket.take(1, now):
            self.process(event, **fields)
        else:
            self.dropped += 1
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._report(now)

    def process(self, event: str, **fields: object) -> None:
        """Write a line about the process or what it believes."""
        stamp = f'time={time.time():.3f} node={self.node} '
        line = f'{stamp}{event_line(event, fields)}\n'
        try:
            os.write(self.descriptor, line.encode())
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            # Nobody reads standard output any more; there is no other place
            # to report that to than the counter.
            self.dropped += 1

    def _report(self, now: Seconds) -> None:
        self._reported_at = now
        if self.dropped > self._reported_dropped:
            lines = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self.process('log_lines_dropped', lines=lines)
