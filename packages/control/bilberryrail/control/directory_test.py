"""Tests of the order of members and of the choice of parents."""

import random

from hypothesis import given
from hypothesis import strategies as st

from bilberryrail.control.directory import Directory, hash_of
from bilberryrail.control.settings import NodeIdentity, RelaySettings
from bilberryrail.core.records import Member

SETTINGS = RelaySettings(readers_per_region=2, children_per_parent=2)
NAMES = [f'n{number}' for number in range(30)]
_VIEWS = st.dictionaries(
    st.sampled_from(NAMES),
    st.tuples(st.sets(st.sampled_from(NAMES)), st.sets(st.sampled_from(NAMES))),
    min_size=1,
)


def _member(name: str, region: str = 'a') -> Member:
    return Member(name, 1, 'bookings', f'{region}0', region, 'host', 1, 2)


def _directory(name: str, known, excluded=()) -> Directory:
    identity = NodeIdentity(name, 'bookings', 'a0', 'a', 'host', 1, 2)
    directory = Directory(SETTINGS, identity)
    directory.reset([_member(other) for other in known])
    directory.exclude(frozenset(excluded))
    return directory


@given(_VIEWS)
def test_parents_come_before_children_in_any_view(views):
    """Guards against subscription cycles between nodes whose views differ."""
    for name, (known, excluded) in views.items():
        parents = _directory(name, known, excluded).parents()
        nodes = [parent.node for parent in parents]
        assert all(hash_of(node) < hash_of(name) for node in nodes)
        assert not excluded & set(nodes)
        assert len(nodes) == len(set(nodes))


@given(st.sets(st.sampled_from(NAMES), min_size=1))
def test_parents_are_at_the_computed_positions(known):
    """Guards against a relay tree that is deeper than designed."""
    order = sorted(known, key=hash_of)
    for position, name in enumerate(order):
        parents = [parent.node for parent in _directory(name, known).parents()]
        first = max(position - 1, 0) // SETTINGS.children_per_parent
        second = first - 1 if first else 1
        wanted = [order[at] for at in (first, second) if at < position]
        assert parents == wanted


def test_incremental_updates_match_a_rebuild():
    """Guards against incremental updates that differ from a full rebuild."""
    rng = random.Random(11)
    directory = _directory('n0', [])
    known: dict[str, str] = {}
    for _ in range(500):
        name = rng.choice(NAMES)
        if name in known and rng.choice((True, False)):
            known.pop(name)
            directory.remove(name)
        else:
            known[name] = rng.choice('ab')
            directory.put(_member(name, known[name]))
        for region in 'ab':
            members = [name for name in known if known[name] == region]
            wanted = sorted(members, key=hash_of)[:2]
            found = [reader.node for reader in directory.readers(region)]
            assert found == wanted


def test_silent_parent_is_replaced_by_the_next():
    """Guards against a child that keeps an unresponsive parent."""
    order = sorted(NAMES, key=hash_of)
    silent = frozenset(order[:2])
    directory = _directory(order[9], NAMES, silent)
    assert directory.position() == 7
    nodes = [parent.node for parent in directory.parents()]
    assert nodes == [order[5], order[4]]
