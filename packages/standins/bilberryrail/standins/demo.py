"""Demo of a deployment: ``python -m bilberryrail.standins.demo``.

The demo starts a deployment on loopback addresses and sends lookups and
bookings to it. While this load runs, it takes an availability zone out, brings
it back, and replaces every node one after another. Finally it drains all nodes
and prints the results of the callers. It ends with status 1 if a call was cut,
lost, refused as invalid, executed twice, answered wrongly, or dispatched in
the zone that was out, or if a node did not end with status 0.
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

#: Time in seconds after which a zone that was taken out must get no new work
#: (invariant 3 of the design).
MAX_ZONE_OUT_DELAY_S = 3.0
#: Shares of ``--seconds`` after which the zone is taken out and brought back.
ZONE_OUT_AT_SHARE = 0.25
ZONE_IN_AT_SHARE = 0.65
#: The load ends once every node has been replaced, and after this time in
#: seconds at the latest.
MAX_LOAD_S = 110.0
#: Least value of ``--seconds``; leaves time to watch the zone that is out.
MIN_LOAD_S = 12
#: Minimum time in seconds for which the zone that is out is watched for new
#: work.
MIN_WATCH_S = 2.0
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
    """Results of the demo.

    Attributes
    ----------
    late_in_zone
        Calls dispatched in the zone more than ``MAX_ZONE_OUT_DELAY_S`` after
        the command that took it out had returned.
    cold_excess
        Largest number of calls in flight above the concurrency limit of a
        cold backend server.
    unclean_exits
        Nodes that did not end with status 0 after SIGTERM.
    """

    load: LoadReport
    zone: AvailabilityZoneId
    late_in_zone: int
    cold_excess: int
    unclean_exits: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Return whether the demo passed; ``cold_excess`` does not count."""
        return not (
            self.load.has_violations
            or self.load.cut
            or self.late_in_zone
            or self.unclean_exits
        )


def main(
    seconds: Annotated[float, typer.Option(min=MIN_LOAD_S, max=60)] = 20,
    seed: int = 1,
    rate: Annotated[float, typer.Option(min=1)] = 60,
    deployment: str = 'tsagaan-tal',
) -> None:
    """Run the demo; it takes less than two minutes."""
    # SIGTERM raises KeyboardInterrupt, so that the demo ends its children.
    signal.signal(signal.SIGTERM, _raise_interrupt)
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
    """Start all processes, run the scenario and end all processes."""
    plan = plan_deployment(load_deployment(options.deployment), options.seed)
    with Children(DRAIN_TIMEOUT_S) as children:
        _print_step(f'starting {len(plan.hosts)} nodes and backend servers')
        system = start_system(plan, children)
        _print_step('confirming the first intent')
        typer.echo(confirm_first_intent(system))
        return _run_scenario(system, options)


def table(findings: Findings) -> tuple[str, ...]:
    """Return the lines of a table of the findings."""
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


def _run_scenario(system: System, options: Options) -> Findings:
    zone = tuple(system.plan.deployment.zones)[1]
    settings = system.load_settings(options.seed, MAX_LOAD_S, options.rate)
    load = start_load(settings, system.children)
    started_at = time.monotonic()
    calls_while_out = _cycle_zone(system, zone, started_at, options.seconds)
    _sleep_until(started_at + options.seconds)
    statuses = _replace_nodes(system)
    report = load.finish()
    cold_excess = system.cold_excess()
    statuses += _drain_nodes(system)
    return Findings(
        load=report,
        zone=zone,
        late_in_zone=calls_while_out,
        cold_excess=cold_excess,
        unclean_exits=tuple(name for name, status in statuses if status),
    )


def _drain_nodes(system: System) -> tuple[tuple[str, int], ...]:
    """Drain all nodes at once and return the exit status of each."""
    _print_step('draining every node')
    stopped = system.children.stop(tuple(system.nodes.values()))
    return tuple(stopped.items())


def _replace_nodes(system: System) -> tuple[tuple[str, int], ...]:
    """Replace one node after another and return the exit status of each."""
    _print_step('replacing every node')
    return tuple(
        (host.identity.node, system.replace(host)) for host in system.plan.hosts
    )


def _cycle_zone(
    system: System,
    zone: AvailabilityZoneId,
    started_at: float,
    seconds: float,
) -> int:
    """Take a zone out and bring it back; return its calls while it was out."""
    _sleep_until(started_at + seconds * ZONE_OUT_AT_SHARE)
    _print_step(f'taking {zone} out')
    typer.echo(system.run_command('zone', 'out', zone, '--yes'))
    time.sleep(MAX_ZONE_OUT_DELAY_S)
    before = system.executions_in(zone)
    watched_until = time.monotonic() + MIN_WATCH_S
    _sleep_until(max(started_at + seconds * ZONE_IN_AT_SHARE, watched_until))
    calls_while_out = system.executions_in(zone) - before
    _print_step(f'bringing {zone} back')
    typer.echo(system.run_command('zone', 'in', zone, '--yes'))
    return calls_while_out


def _sleep_until(instant: float) -> None:
    time.sleep(max(instant - time.monotonic(), 0))


def _latencies(load: LoadReport) -> str:
    return f'{load.p50_ms:.1f} / {load.p99_ms:.1f} / {load.max_ms:.1f}'


def _raise_interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def _print_step(step: str) -> None:
    typer.echo(f'--- {step}')


if __name__ == '__main__':
    typer.run(main)
