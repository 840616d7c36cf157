"""Command line of the soak test: ``python3 dev.py soak --seed 7``."""

import sys
import time
from random import SystemRandom
from typing import Annotated, Any, Final

import typer
from twisted.internet.defer import maybeDeferred

from bilberryrail.gateway import reactor as node_reactor

_SEEDS: Final = 1_000_000


def main(
    seed: Annotated[
        int | None, typer.Option(help='First seed; random by default.')
    ] = None,
    runs: Annotated[
        int, typer.Option(help='Number of soaks, run one after another.')
    ] = 1,
    nodes: Annotated[int, typer.Option(help='Number of node processes.')] = 8,
    seconds: Annotated[
        float, typer.Option(help='Seconds in which faults are applied.')
    ] = 20.0,
    scenario: Annotated[
        str,
        typer.Option(
            help='What happens: faults, stops, silence, uploads or reuse.'
        ),
    ] = 'faults',
) -> None:
    """Run soaks with consecutive seeds and report violated guarantees."""
    reactor = node_reactor.install()
    from bilberryrail.soak.run import Scenario, Soak, SoakSettings

    if scenario not in {known.value for known in Scenario}:
        raise typer.BadParameter(f'unknown scenario {scenario!r}')

    first = SystemRandom().randrange(_SEEDS) if seed is None else seed
    failed_seeds: list[int] = []

    def run_next(index: int) -> None:  # noqa: WPS430
        if index == runs:
            reactor.stop()
            return
        settings = SoakSettings(
            first + index, Scenario(scenario), nodes=nodes, faults_s=seconds
        )
        # A soak that cannot start, for example because an address is in use,
        # counts as failed.
        running = maybeDeferred(lambda: Soak(reactor, settings).run())
        running.addCallback(report_result)
        running.addErrback(report_failure, settings.seed)
        running.addBoth(lambda _: run_next(index + 1))

    def report_result(report: Any) -> None:  # noqa: WPS430
        _print(report)
        if report.violations:
            failed_seeds.append(report.seed)

    def report_failure(failure: Any, failed_seed: int) -> None:  # noqa: WPS430
        typer.echo(f'seed={failed_seed} failed with an error: {failure}')
        failed_seeds.append(failed_seed)

    reactor.callWhenRunning(run_next, 0)
    started_at = time.monotonic()
    reactor.run()
    took_s = time.monotonic() - started_at
    typer.echo(f'{runs} soaks in {took_s:.0f} s, {len(failed_seeds)} failed')
    sys.exit(1 if failed_seeds else 0)


def _print(report: Any) -> None:
    verdict = 'BROKEN' if report.violations else 'held'
    typer.echo(
        f'seed={report.seed} {verdict} calls={report.calls} '
        f'served={report.served} runs={report.runs} '
        f'faults={len(report.history)}',
    )
    if not report.violations:
        return
    for line in report.violations[:20]:
        typer.echo(f'  {line}')
    for at, name, host in report.history:
        typer.echo(f'  {at:7.2f} s {name} {host}')
    typer.echo(f'  logs: {report.folder}')


if __name__ == '__main__':
    typer.run(main)
