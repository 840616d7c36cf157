"""List of all measured slopes, with the sizes of their points."""

from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from typing import Final


@dataclass(frozen=True, slots=True)
class Case:
    """One measurement at several sizes.

    Attributes
    ----------
    source
        Module and function that measure one point. Only the process that
        measures the point loads them, so that it holds no other code.
    per
        What the sizes count, such as members.
    sizes
        Sizes of the points.
    labels
        Headings that replace the sizes in the table; no line is fitted then.
    """

    name: str
    source: str
    per: str
    sizes: tuple[int, ...]
    labels: tuple[str, ...] = ()

    def load(self) -> Callable[[int], dict[str, float]]:
        """Load the function that measures one point."""
        module, _, function = self.source.partition('.')
        loaded = import_module(f'bilberryrail.bench.{module}')
        return getattr(loaded, function)


_MEMBERS: Final = (1000, 5000, 10_000, 19_000)
_CHILDREN: Final = (0, 4, 8, 16)
_IMPORTS: Final = (
    'interpreter alone',
    'asyncio',
    'twisted',
    'klein',
    'treq',
    'OpenSSL',
    'httptools',
    'uvloop',
    'protobuf',
    'aioprometheus',
    'hdrhistogram',
    'msgspec',
    'typer',
    'absl.logging',
    'automat',
    'engine',
    'whole node',
)

CASES: Final = (
    Case(
        'imports',
        'slope_memory.imported',
        '',
        tuple(range(len(_IMPORTS))),
        _IMPORTS,
    ),
    Case('running node without members', 'slope_memory.running', '', (0,)),
    Case('memory of members', 'slope_memory.members', 'member', _MEMBERS),
    Case(
        'memory of services',
        'slope_memory.services',
        'service',
        (100, 1300, 5000, 10_000),
    ),
    Case(
        'records in a message',
        'slope_messages.records_in_frame',
        'record',
        (1, 4, 16, 64),
    ),
    Case(
        'unlogged announcements in a message',
        'slope_messages.unlogged_in_frame',
        'announcement',
        (1, 4, 16, 64),
    ),
    Case(
        'status report',
        'slope_messages.status_report',
        'zone',
        (1, 2, 4, 6),
    ),
    Case('probe', 'slope_messages.probe', 'member', _MEMBERS),
    Case(
        'record at a leaf',
        'slope_messages.record_by_members',
        'member',
        _MEMBERS,
    ),
    Case(
        'record at an interior node',
        'slope_messages.record_by_children',
        'child',
        _CHILDREN,
    ),
    Case('relay round', 'slope_messages.relay_round', 'child', _CHILDREN),
    Case(
        'ordinary day at an inner relay node',
        'slope_day.interior',
        '',
        (0,),
    ),
    Case(
        'routing decision',
        'slope_calls.routing',
        'candidate',
        (10, 100, 1000, 19_000),
    ),
    Case('call at the ingress', 'slope_calls.ingress_call', 'member', _MEMBERS),
    Case('call at the target', 'slope_calls.target_call', 'member', _MEMBERS),
    Case('idle tick', 'slope_calls.idle_tick', 'member', _MEMBERS),
    Case('view', 'slope_state.view', 'member', _MEMBERS),
    Case('snapshot', 'slope_state.snapshot', 'member', _MEMBERS),
    Case(
        'catching up',
        'slope_state.catch_up',
        'record',
        (1000, 5000, 20_000, 50_000),
    ),
    Case('log appends', 'slope_state.appends', 'node', (5, 10, 20)),
)
