"""Simulated deployment under load, with the rules that its run must obey."""

from collections.abc import Callable

from bilberryrail.core.ids import AvailabilityZoneId
from bilberryrail.core.records import (
    AvailabilityZoneConfig,
    AvailabilityZoneEdit,
)
from bilberryrail.proofs.checkers import CHECKERS, Rules
from bilberryrail.proofs.deployment import (
    COURTS_SMALL,
    HOME_TENANT,
    ProofDeployment,
)
from bilberryrail.proofs.jobs import Callers
from bilberryrail.proofs.node import ProofNode
from bilberryrail.proofs.world import World

#: Time in seconds by which all nodes of a new simulation have caught up.
READY_S = 0.5


class Scenario:
    """A simulated deployment whose nodes have caught up, and its callers."""

    def __init__(
        self,
        deployment: ProofDeployment = COURTS_SMALL,
        seed: int = 1,
    ) -> None:
        self.deployment = deployment
        self.world = World(deployment, seed)
        self.callers = Callers(self.world, seed)
        self.rules = Rules({HOME_TENANT: (deployment.home_region,)})
        self.world.start()
        self.world.scheduler.run_until(READY_S)

    def load(self, per_s: float, for_s: float) -> None:
        """Schedule calls at a mean rate for some time from now on."""
        until = self.world.scheduler.now + for_s
        self.callers.offer(until, per_s)

    def run(self, for_s: float) -> None:
        """Advance the simulated time."""
        self.world.scheduler.run_until(self.world.scheduler.now + for_s)

    def at(self, delay_s: float, run: Callable[[], None]) -> None:
        """Schedule a function after a delay."""
        self.world.scheduler.after(delay_s, run)

    def node(
        self,
        service: str,
        zone: AvailabilityZoneId | None = None,
    ) -> ProofNode:
        """Return the first live node of a service, optionally in a zone."""
        return next(
            node
            for node in self.world.live()
            if node.identity.service == service
            and zone in {None, node.identity.zone}
        )

    def set_zone(self, zone: AvailabilityZoneId, *, out: bool) -> None:
        """Publish an accepted change of one availability zone."""
        region = self.deployment.zones[zone]
        config = AvailabilityZoneConfig(zone, region, out)
        self.world.publish((AvailabilityZoneEdit(config),))

    def violations(self, invariant: int | None = None) -> tuple[str, ...]:
        """End the run, and return violations of one invariant or of all."""
        self.world.record_final_configurations()
        return tuple(
            f'{number} {checker.__name__}: {found}'
            for number, checker in CHECKERS
            if invariant in {None, number}
            for found in checker(self.world.recorder.notes, self.rules)
        )
