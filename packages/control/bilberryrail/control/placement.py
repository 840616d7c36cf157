"""Role of this node in the relay: log reader or child, sources and links."""

from collections.abc import Iterator

from bilberryrail.control.directory import Directory
from bilberryrail.control.membership import Membership
from bilberryrail.control.messages import ControlAction, LogEvent
from bilberryrail.control.replica import Replica
from bilberryrail.control.sources import MAX_SOURCES, Sources
from bilberryrail.core.ids import Seconds
from bilberryrail.core.records import Member


class Placement:
    """Decides the role again when members, suspicions or the log change.

    Attributes
    ----------
    is_reader
        Whether this node is a regular log reader, which means that it is among
        the first ``readers_per_region`` live members of its region.
    """

    def __init__(
        self,
        membership: Membership,
        sources: Sources,
        replica: Replica,
    ) -> None:
        self.directory: Directory = membership.directory
        self.membership = membership
        self.sources = sources
        self.replica = replica
        self.is_reader = False
        self._exclusion_inputs: object = None
        self._inputs: object = None

    @property
    def is_fallback_reader(self) -> bool:
        """Whether enough members for all reader roles precede this node."""
        settings = self.directory.settings
        return self.directory.rank() >= settings.readers_per_region

    def update(
        self,
        log_available: bool,
        now: Seconds,
    ) -> Iterator[ControlAction]:
        """Update the role, the sources and the links if an input changed."""
        self._exclude()
        initial_sources = (
            () if self.replica.caught_up else self.sources.initial_sources()
        )
        inputs = (
            self.directory.version,
            log_available,
            self.replica.lacks_state,
            self.replica.caught_up,
            initial_sources,
        )
        if inputs == self._inputs:
            return
        self._inputs = inputs
        yield from self._update_role()
        wanted = self._sources(log_available, initial_sources)
        yield from self.sources.choose(
            wanted,
            self._links(),
            now,
            from_first=self._has_parents(),
        )

    def _exclude(self) -> None:
        inputs = (self.membership.version, tuple(self.sources.suspects))
        if inputs != self._exclusion_inputs:
            self._exclusion_inputs = inputs
            suspects = frozenset(self.sources.suspects)
            self.directory.exclude(suspects | self.membership.leaving)

    def _update_role(self) -> Iterator[ControlAction]:
        position = self.directory.position()
        is_first = position < self.directory.settings.readers_per_region
        # Before it has caught up, a node cannot know its position.
        is_reader = is_first and self.replica.caught_up
        if is_reader != self.is_reader:
            self.is_reader = is_reader
            name = 'became_reader' if is_reader else 'stopped_reading'
            yield LogEvent(name, {'position': position})

    def _sources(
        self,
        log_available: bool,
        initial_sources: tuple[Member, ...],
    ) -> tuple[Member, ...]:
        if self.replica.lacks_state:
            return _distinct((*self._other_readers(), *initial_sources))
        if not self.is_reader:
            return self.directory.parents() or initial_sources
        if log_available:
            return ()
        earlier = self.directory.earlier_readers()
        return (*earlier[-MAX_SOURCES:], *self._remote_readers())

    def _has_parents(self) -> bool:
        """Return whether the sources are the parents in the relay tree."""
        waits = self.is_reader or self.replica.lacks_state
        return self.replica.caught_up and not waits

    def _links(self) -> tuple[Member, ...]:
        if not self.is_reader:
            return ()
        return (*self.directory.earlier_readers(), *self._remote_readers())

    def _remote_readers(self) -> tuple[Member, ...]:
        """List the reader of each other region that matches this position."""
        found = []
        for region in self.directory.other_regions():
            readers = self.directory.readers(region)
            if readers:
                found.append(readers[self.directory.position() % len(readers)])
        return tuple(found)

    def _other_readers(self) -> tuple[Member, ...]:
        own = self.directory.identity
        readers = self.directory.readers(own.region)
        found = tuple(member for member in readers if member.node != own.node)
        return (*found, *self._remote_readers())


def _distinct(members: tuple[Member, ...]) -> tuple[Member, ...]:
    return tuple({member.node: member for member in members}.values())
