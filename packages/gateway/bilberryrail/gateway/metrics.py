"""Counters and latency histograms of the process, for Prometheus."""

import math
from http import HTTPStatus
from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from bilberryrail.forwarding.load_report import Notice, NoticeSource
from bilberryrail.forwarding.records import (
    ConfigVersion,
    HttpAnswer,
    HttpRequest,
    StoreEra,
)
from bilberryrail.gateway.http_server import Respond

#: Upper bounds of the buckets in seconds, chosen around the target latencies of
#: 0.1 to 2 s.
_LATENCY_BUCKETS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.5,
    3.0,
    float('inf'),
)


class Metrics:
    """Metrics of one process, in their own registry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.answers = self._counter(
            'answers_total', 'Answers to clients by service and status.'
        )
        self.decisions = self._counter(
            'decisions_total', 'Decisions about requests by kind and reason.'
        )
        self.store_calls = self._counter(
            'store_calls_total', 'Calls to the store by kind and result.'
        )
        self.link_bytes = self._counter(
            'link_bytes_total', 'Bytes sent to other nodes by place and cause.'
        )
        self.notices = self._counter(
            'backend_notices_total',
            'Changes of what the backend server states, by source.',
        )
        self.backend_crashes = self._counter(
            'backend_crashes_total',
            'Unannounced ends of the backend server with requests in flight.',
        )
        self.rate_limit = self._gauge(
            'backend_rate_limit',
            'Requests per second that the backend server accepts.',
        )
        self.rate_limit.set({}, math.inf)
        self.store_era = self._gauge(
            'store_era',
            'Number of times that the store was restored from a copy.',
        )
        self.config_version = self._gauge(
            'config_version', 'Version of the configuration in force.'
        )
        self.latency = Histogram(
            'bilberryrail_answer_seconds',
            'Time from a request to its answer, by service.',
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )

    def answered(self, service: str, status: int, took_s: float) -> None:
        """Count an answer to a client and record its latency."""
        self.answers.inc({'service': service, 'status': str(status)})
        self.latency.observe({'service': service}, took_s)

    def decided(self, kind: str, reason: str = '') -> None:
        """Count a decision about a request."""
        self.decisions.inc({'kind': kind, 'reason': reason})

    def noticed(self, notice: Notice, source: NoticeSource) -> None:
        """Record what the backend server states about itself."""
        self.notices.inc({'source': source.value})
        self.rate_limit.set({}, notice.rate_limit)

    def called_store(self, kind: str, result: str) -> None:
        """Count a call to the store."""
        self.store_calls.inc({'kind': kind, 'result': result})

    def store_read(self, era: StoreEra) -> None:
        """Record the era of the store's latest answer."""
        self.store_era.set({}, era)

    def config_adopted(self, version: ConfigVersion) -> None:
        """Record the version of the configuration in force."""
        self.config_version.set({}, version)

    def sent(self, place: str, cause: str, size: int) -> None:
        """Count bytes sent to another node."""
        self.link_bytes.add({'place': place, 'cause': cause}, size)

    def render(self) -> HttpAnswer:
        """Return all metrics in the Prometheus text format."""
        text, headers = render(self.registry, ['text/plain'])
        header = (b'Content-Type', headers['Content-Type'].encode())
        return HttpAnswer(HTTPStatus.OK, (header,), text)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f'bilberryrail_{name}', text, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f'bilberryrail_{name}', text, registry=self.registry)


class MetricsService:
    """Serves the metrics over HTTP."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def serve(
        self,
        request: HttpRequest,
        client: str,
        respond: Respond,
    ) -> None:
        """Answer any request with all metrics."""
        respond(self.metrics.render())
