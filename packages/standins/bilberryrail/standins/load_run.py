"""A load of calls with seeded arrivals, and what it finds out at the end."""

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

#: Time after the last answer in which cancelled calls reach their end.
SETTLE_S = 0.5
REQUEST_ID_BITS = 64


@dataclass
class Stopping:
    """Whether the load was asked to start no more calls."""

    requested: bool = False

    def request(self) -> None:
        """Start no more calls."""
        self.requested = True


class _Executions(msgspec.Struct):
    """Answer of ``GET /executions``; other fields are ignored."""

    counts: dict[str, int]


def arrivals(
    settings: LoadSettings,
    source: random.Random,
) -> Iterator[tuple[float, Call]]:
    """Draw calls and the time in seconds after the start of each."""
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
    stopping: Stopping,
) -> LoadReport:
    """Carry out a load and compare it with what was executed.

    Parameters
    ----------
    stopping
        Set to start no more calls; those in flight are finished.
    """
    source = random.Random(settings.seed)
    caller = Caller(settings.nodes, clock, source)
    calls = await _run_calls(settings, caller, stopping)
    await deferLater(clock, SETTLE_S)
    executions = await executions_of(settings.backends)
    return make_report(
        tuple(calls),
        executions,
        caller.latency,
        caller.reasons,
    )


async def _run_calls(
    settings: LoadSettings,
    caller: Caller,
    stopping: Stopping,
) -> list[CallResult]:
    """Start each call at its time, and wait for all that were started."""
    clock = caller.clock
    running: list[Deferred[CallResult]] = []
    started_at = clock.seconds()
    # Arrivals have their own generator, so they do not depend on answers.
    for at, call in arrivals(settings, random.Random(settings.seed)):
        wait_s = max(started_at + at - clock.seconds(), 0)
        # In order: each call starts at its own time.
        await deferLater(clock, wait_s)  # noqa: WPS476
        if stopping.requested:
            break
        running.append(ensureDeferred(caller.run(call)))
    return await gatherResults(running)


async def executions_of(backends: tuple[str, ...]) -> Counter[str]:
    """Add up the executions of all backend servers by request id."""
    found = await gatherResults(
        [ensureDeferred(_executions_of(backend)) for backend in backends],
    )
    return sum(found, Counter())


async def _executions_of(backend: str) -> Counter[str]:
    response = await treq.get(f'{backend}/executions')
    body = await treq.content(response)
    return Counter(msgspec.json.decode(body, type=_Executions).counts)
