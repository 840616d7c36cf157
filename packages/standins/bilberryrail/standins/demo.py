"""Demo of a deployment: ``python -m bilberryrail.standins.demo``.

Sets up a deployment on loopback, sends lookups and bookings, takes an
availability zone out and brings it back while the load runs, replaces every
node one after another, drains them all, and prints what the callers saw. Ends
with status 1 if a call was cut, lost, refused as invalid, executed twice,
answered wrongly, or dispatched in the zone that was out.
"""

import signal
import sys
import time
from dataclasses import dataclass
from typing import Annotated

import typer

from bilberryrail.core.ids import AvailabilityZoneId
from bilberryrail.standins.caller_report import LoadReport
from bilberryrail.standins.demo_system import (
    DemoError,
    System,
    confirm_first_intent,
    start_system,
)
from bilberryrail.standins.deployments import load_deployment, plan_deployment
from bilberryrail.standins.load_process import start_load
from bilberryrail.standins.processes import Children, ProcessError

#: Invariant 3: a zone that is out gets no new work after this time.
ZONE_OUT_S = 3.0
#: Shares of the load's length at which the zone leaves and returns.
LEAVE_AT = 0.25
RETURN_AT = 0.65
#: The load is ended when every node has been replaced, at the latest now.
LONGEST_LOAD_S = 110.0
#: Shortest load that leaves time to watch a zone that is out.
MIN_SECONDS = 12
#: Least time for which a zone that is out is watched for new work.
WATCH_S = 2.0
DRAIN_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Options:
    """Options of the demo; ``rate`` is in calls per second."""

    seconds: float
    seed: int
    rate: float
    deployment: str


@dataclass(frozen=True, slots=True)
class Findings:
    """What the demo measured.

    Attributes
    ----------
    late_in_zone
        Calls dispatched in the zone later than 3 s after the confirmation
        that took it out returned.
    cold_excess
        Most calls in flight above what a cold backend server bore.
    unclean_exits
        Nodes that did not end with status 0 on SIGTERM.
    """

    load: LoadReport
    zone: AvailabilityZoneId
    late_in_zone: int
    cold_excess: int
    unclean_exits: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Tell whether nothing was lost, doubled, wrong or in the zone."""
        return not (
            self.load.has_violations
            or self.load.cut
            or self.late_in_zone
            or self.unclean_exits
        )


def main(
    seconds: Annotated[float, typer.Option(min=MIN_SECONDS, max=60)] = 20,
    seed: int = 1,
    rate: Annotated[float, typer.Option(min=1)] = 60,
    deployment: str = 'tsagaan-tal',
) -> None:
    """Run the demo; ends by itself in under two minutes."""
    # Ended by SIGTERM, the demo still ends its children.
    signal.signal(signal.SIGTERM, _interrupt)
    options = Options(seconds, seed, rate, deployment)
    try:
        findings = run_demo(options)
    except (DemoError, ProcessError) as error:
        typer.echo(f'demo failed: {error}', err=True)
        sys.exit(1)
    for line in table(findings):
        typer.echo(line)
    sys.exit(0 if findings.passed else 1)


def run_demo(options: Options) -> Findings:
    """Start everything, run the load, and end everything."""
    plan = plan_deployment(load_deployment(options.deployment), options.seed)
    with Children(DRAIN_TIMEOUT_S) as children:
        _say(f'starting {len(plan.hosts)} nodes and backend servers')
        system = start_system(plan, children)
        _say('confirming the first intent')
        typer.echo(confirm_first_intent(system))
        return _measure(system, options)


def table(findings: Findings) -> tuple[str, ...]:
    """Format the findings."""
    load = findings.load
    outcomes = ', '.join(
        f'{name} {count}' for name, count in sorted(load.outcomes.items())
    )
    rows = (
        ('calls', load.calls),
        ('outcomes', outcomes),
        ('refused (not run)', load.refused),
        ('refused as invalid', load.invalid),
        ('lost', load.lost),
        ('cut', load.cut),
        ('completed but not executed', load.missing),
        ('doubled', load.doubled),
        ('wrong answers', load.wrong),
        ('"not run" but executed', load.false_not_run),
        ('latency p50 / p99 / max (ms)', _latencies(load)),
        (f'dispatched in {findings.zone} when out', findings.late_in_zone),
        ('cold overload (calls)', findings.cold_excess),
        ('unclean exits', ', '.join(findings.unclean_exits) or 'none'),
        ('passed', 'yes' if findings.passed else 'NO'),
    )
    return tuple(f'{name:34} {figure}' for name, figure in rows)


def _measure(system: System, options: Options) -> Findings:
    zone = tuple(system.plan.deployment.zones)[1]
    settings = system.load_settings(options.seed, LONGEST_LOAD_S, options.rate)
    load = start_load(settings, system.children)
    started_at = time.monotonic()
    late = _cycle_zone(system, zone, started_at, options.seconds)
    _sleep_until(started_at + options.seconds)
    statuses = _replace_nodes(system)
    report = load.finish()
    excess = system.cold_excess()
    statuses += _drain_nodes(system)
    return Findings(
        load=report,
        zone=zone,
        late_in_zone=late,
        cold_excess=excess,
        unclean_exits=tuple(name for name, status in statuses if status),
    )


def _drain_nodes(system: System) -> tuple[tuple[str, int], ...]:
    """Drain all nodes at once; returns the exit status of each."""
    _say('draining every node')
    stopped = system.children.stop(tuple(system.nodes.values()))
    return tuple(stopped.items())


def _replace_nodes(system: System) -> tuple[tuple[str, int], ...]:
    """Replace node after node; returns the exit status of each."""
    _say('replacing every node')
    return tuple(
        (host.identity.node, system.replace(host)) for host in system.plan.hosts
    )


def _cycle_zone(
    system: System,
    zone: AvailabilityZoneId,
    started_at: float,
    seconds: float,
) -> int:
    """Take a zone out and back; returns the calls it got when out."""
    _sleep_until(started_at + seconds * LEAVE_AT)
    _say(f'taking {zone} out')
    typer.echo(system.run_command('zone', 'out', zone, '--yes'))
    time.sleep(ZONE_OUT_S)
    before = system.executions_in(zone)
    watched_until = time.monotonic() + WATCH_S
    _sleep_until(max(started_at + seconds * RETURN_AT, watched_until))
    late = system.executions_in(zone) - before
    _say(f'bringing {zone} back')
    typer.echo(system.run_command('zone', 'in', zone, '--yes'))
    return late


def _sleep_until(instant: float) -> None:
    time.sleep(max(instant - time.monotonic(), 0))


def _latencies(load: LoadReport) -> str:
    return f'{load.p50_ms:.1f} / {load.p99_ms:.1f} / {load.max_ms:.1f}'


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def _say(step: str) -> None:
    typer.echo(f'--- {step}')


if __name__ == '__main__':
    typer.run(main)
