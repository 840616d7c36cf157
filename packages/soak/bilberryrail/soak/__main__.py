"""Command line of the soak: ``python3 dev.py soak --seed 7``."""

import sys
import time
from random import SystemRandom
from typing import Annotated, Any, Final

import typer

from bilberryrail.gateway import reactor as node_reactor

_SEEDS: Final = 1_000_000


def main(
    seed: Annotated[
        int | None, typer.Option(help='First seed; drawn if none is given.')
    ] = None,
    runs: Annotated[int, typer.Option(help='Soaks, one after another.')] = 1,
    nodes: Annotated[int, typer.Option(help='Node processes.')] = 8,
    seconds: Annotated[
        float, typer.Option(help='Time in which faults are applied.')
    ] = 20.0,
) -> None:
    """Run soaks and report each broken promise."""
    reactor = node_reactor.install()
    from bilberryrail.soak.run import Soak, SoakSettings  # noqa: WPS433

    first = SystemRandom().randrange(_SEEDS) if seed is None else seed
    broken: list[int] = []

    def play(index: int) -> None:  # noqa: WPS430
        if index == runs:
            reactor.stop()
            return
        settings = SoakSettings(first + index, nodes=nodes, faults_s=seconds)
        playing = Soak(reactor, settings).run()
        playing.addCallback(show)
        playing.addErrback(fail, settings.seed)
        playing.addBoth(lambda _: play(index + 1))

    def show(report: Any) -> None:  # noqa: WPS430
        _print(report)
        if report.violations:
            broken.append(report.seed)

    def fail(failure: Any, failed_seed: int) -> None:  # noqa: WPS430
        typer.echo(f'seed={failed_seed} ended by itself: {failure}')
        broken.append(failed_seed)

    reactor.callWhenRunning(play, 0)
    started_at = time.monotonic()
    reactor.run()
    took_s = time.monotonic() - started_at
    typer.echo(f'{runs} soaks in {took_s:.0f} s, {len(broken)} broke promises')
    sys.exit(1 if broken else 0)


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
