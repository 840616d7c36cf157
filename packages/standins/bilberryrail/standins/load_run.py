"""Runs a load of calls with seeded arrivals and reports on the results."""

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import treq
from twisted.internet.defer import Deferred, ensureDeferred, gatherResults
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from bilberryrail.standins.caller_calls import Call, Caller
from bilberryrail.standins.caller_report import (
    CallResult,
    LoadReport,
    make_report,
)
from bilberryrail.standins.load_settings import LoadSettings

#: Time in seconds after the last answer in which cancelled calls come to their
#: end, before the executions are counted.
SETTLE_S = 0.5
REQUEST_ID_BITS = 64


@dataclass
class StopFlag:
    """Tells a load to start no more calls."""

    is_set: bool = False

    def set(self) -> None:
        """Let the load start no more calls."""
        self.is_set = True


class _Executions(msgspec.Struct):
    """Answer to ``GET /executions``; other fields are ignored."""

    counts: dict[str, int]


def draw_arrivals(
    settings: LoadSettings,
    source: random.Random,
) -> Iterator[tuple[float, Call]]:
    """Yield each call with its start time, in seconds from the load's start."""
    at = source.expovariate(settings.rate)
    tenants = sorted(settings.tenants)
    while at < settings.seconds:
        chosen = source.choice(settings.services)
        tenant = source.choice(tenants)
        yield (
            at,
            Call(
                request=f'{source.getrandbits(REQUEST_ID_BITS):016x}',
                service=chosen.service,
                idempotent=chosen.idempotent,
                tenant=tenant,
                home_regions=settings.tenants[tenant],
                deadline_s=settings.deadline_s,
                patience_s=settings.patience_s,
            ),
        )
        at += source.expovariate(settings.rate)


async def run_load(
    settings: LoadSettings,
    clock: IReactorTime,
    stop_flag: StopFlag,
) -> LoadReport:
    """Run a load and compare its answers with what was executed.

    Parameters
    ----------
    stop_flag
        Once it is set, no more calls start; calls in flight are finished.
    """
    source = random.Random(settings.seed)
    caller = Caller(settings.nodes, clock, source)
    calls = await _run_calls(settings, caller, stop_flag)
    await deferLater(clock, SETTLE_S)
    executions = await count_executions(settings.backends)
    return make_report(
        tuple(calls),
        executions,
        caller.latency,
        caller.reasons,
    )


async def _run_calls(
    settings: LoadSettings,
    caller: Caller,
    stop_flag: StopFlag,
) -> list[CallResult]:
    """Start each call at its time and wait for all results."""
    clock = caller.clock
    running: list[Deferred[CallResult]] = []
    started_at = clock.seconds()
    # Arrivals have a random generator of their own, so that they do not
    # depend on the answers.
    for at, call in draw_arrivals(settings, random.Random(settings.seed)):
        wait_s = max(started_at + at - clock.seconds(), 0)
        # Awaited in a loop because the calls start in order of time.
        await deferLater(clock, wait_s)  # noqa: WPS476
        if stop_flag.is_set:
            break
        running.append(ensureDeferred(caller.run(call)))
    return await gatherResults(running)


async def count_executions(backends: tuple[str, ...]) -> Counter[str]:
    """Count the executions on all backend servers by request id."""
    found = await gatherResults(
        [ensureDeferred(_fetch_executions(backend)) for backend in backends],
    )
    return sum(found, Counter())


async def _fetch_executions(backend: str) -> Counter[str]:
    response = await treq.get(f'{backend}/executions')
    body = await treq.content(response)
    return Counter(msgspec.json.decode(body, type=_Executions).counts)
