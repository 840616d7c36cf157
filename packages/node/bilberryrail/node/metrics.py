"""Metrics of a node, rendered in the Prometheus text format.

No metric has a label for the tenant, because the number of tenants is not
bounded and each one would add a time series.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from bilberryrail.core.load import LoadReport, Outcome, Reason

#: Upper bounds in seconds; they are finest around 0.78 ms, the target for the
#: processing time of a call.
_STEP_BUCKETS: Final = (
    0.00002,
    0.00005,
    0.0001,
    0.0002,
    0.0004,
    0.0008,
    0.0016,
    0.0064,
    0.0256,
    float('inf'),
)


class Step(Enum):
    """Step of a call whose processing time is measured.

    ``ANSWER`` is the forwarding of an answer: to the ingress by the target, to
    the caller by the ingress.
    """

    PARSE = 'parse'
    DECIDE = 'decide'
    SEND = 'send'
    ADMIT = 'admit'
    FORWARD = 'forward'
    ANSWER = 'answer'


class Metrics:
    """Metrics of one node, in a registry of their own.

    Attributes
    ----------
    waiting_callers
        Returns the number of callers without a final response.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.waiting_callers: Callable[[], int] = int
        self.calls = self._counter('calls_total', 'Calls by outcome.')
        self.refusals = self._counter('refusals_total', 'Refusals by reason.')
        self.probes = self._counter('probes_total', 'Probes by direction.')
        self.probe_bytes = self._counter(
            'probe_bytes_total',
            'Bytes of probes and their replies by direction.',
        )
        self.control_bytes = self._counter(
            'control_bytes_total',
            'Bytes of control frames by direction.',
        )
        self.in_flight = self._gauge('in_flight', 'Running calls by role.')
        self.limit = self._gauge('limit', 'Calls admitted at the same time.')
        self.steps = Histogram(
            'bilberryrail_step_seconds',
            'Processing time of one step of a call.',
            registry=self.registry,
            buckets=_STEP_BUCKETS,
        )

    def observe(self, step: Step, seconds: float) -> None:
        """Record how long a step took."""
        self.steps.add({'step': step.value}, float(seconds))

    def count_outcome(self, outcome: Outcome) -> None:
        """Count a call that received its final response."""
        self.calls.inc({'outcome': outcome.value})

    def count_refusal(self, reason: Reason) -> None:
        """Count a call that was refused or failed."""
        self.refusals.inc({'reason': reason.value})

    def count_load(self, load: LoadReport) -> None:
        """Set the gauges to the load that this node reported last."""
        self.in_flight.set({'role': 'target'}, load.in_flight)
        self.limit.set({}, load.limit)

    def count_frame(self, kind: str, direction: str, size: int) -> None:
        """Count a frame of the control plane or a probe, and its bytes."""
        labels = {'direction': direction}
        if kind in {'probe', 'probe_reply'}:
            self.probes.inc(labels)
            self.probe_bytes.add(labels, size)
        else:
            self.control_bytes.add(labels, size)

    def render(self) -> bytes:
        """Render all metrics as text."""
        self.in_flight.set({'role': 'ingress'}, self.waiting_callers())
        rendered, _ = render(self.registry, ['text/plain'])
        return rendered

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f'bilberryrail_{name}', doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f'bilberryrail_{name}', doc, registry=self.registry)
