"""Faults, each a pair of functions that begin and end it at a node."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bilberryrail.control import messages
from bilberryrail.policy import events
from bilberryrail.proofs import trace
from bilberryrail.proofs.node import ProofNode
from bilberryrail.proofs.world import World

#: Factor on the service time, and latency in seconds added to all links, while
#: a node is slow.
SLOW_FACTOR = 20
SLOW_LINK_S = 0.2

Change = Callable[[World, ProofNode], None]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at a node that ends after ``lasts_s`` seconds."""

    name: str
    begin: Change
    end: Change
    lasts_s: float


def kill(world: World, node: ProofNode) -> None:
    """Kill the process of a node; its connections break."""
    if not node.alive:
        return
    node.alive = False
    world.record_reachability()
    for dispatch in tuple(node.running):
        node.backend.cancel(dispatch)
    for peer in world.live():
        world.break_link(node, peer)
    world.disconnect_callers(node)


def restart(world: World, node: ProofNode) -> None:
    """Start a new incarnation of a node with the same backend server."""
    name = node.name
    if world.nodes[name].alive:
        return
    fresh = world.make_node(node.identity, node.backend, f'{world.seed}/{name}')
    fresh.backend_down = node.backend_down
    world.nodes[name] = fresh
    world.record_reachability()
    world.handle(fresh, messages.Tick())


def freeze(world: World, node: ProofNode) -> None:
    """Pause the process of a node."""
    if node.alive:
        node.frozen = True
        world.record_reachability()


def thaw(world: World, node: ProofNode) -> None:
    """Resume the paused process of a node."""
    if node.alive and node.frozen:
        world.resume(node)


def cut(world: World, node: ProofNode) -> None:
    """Break all links of a node and prevent new ones."""
    world.links.cut.add(node.name)
    world.record_reachability()
    for peer in world.live():
        if peer.name != node.name:
            world.break_link(node, peer)


def mend(world: World, node: ProofNode) -> None:
    """Allow new links of a node again."""
    world.links.cut.discard(node.name)
    world.record_reachability()


def slow(world: World, node: ProofNode) -> None:
    """Slow down the backend server and the links of a node."""
    node.backend.slow_factor = SLOW_FACTOR
    world.links.extra_s[node.name] = SLOW_LINK_S


def speed_up(world: World, node: ProofNode) -> None:
    """Restore the normal speed of the backend server and the links."""
    node.backend.slow_factor = 1
    world.links.extra_s.pop(node.name, None)


def log_down(world: World, _: ProofNode) -> None:
    """Take the log service down."""
    world.log.down = True
    world.record_reachability()


def log_up(world: World, _: ProofNode) -> None:
    """Bring the log service back."""
    world.log.down = False
    world.record_reachability()


def lose_log_answers(world: World, _: ProofNode) -> None:
    """Lose the answers to the next three appends, which are stored."""
    world.log.lost_answers = 3


def keep_log_answers(world: World, _: ProofNode) -> None:
    """Answer all appends again."""
    world.log.lost_answers = 0


def expire_records(world: World, node: ProofNode) -> None:
    """Kill a node and expire old records, so that it needs a snapshot."""
    kill(world, node)
    world.log.expire()


def turn_cold(world: World, node: ProofNode) -> None:
    """Restart the backend server cold; its calls in flight survive."""
    node.backend.turn_cold()


def lose_backend(world: World, node: ProofNode) -> None:
    """Kill the backend server: running calls fail, connections are refused."""
    node.backend_down = True
    node.backend.turn_cold()
    for dispatch in tuple(node.running):
        node.running.pop(dispatch)
        node.backend.cancel(dispatch)
        failed = events.BackendFailed(dispatch, True, 'reset')
        world.scheduler.after(0, partial(world.handle, node, failed))


def restore_backend(world: World, node: ProofNode) -> None:
    """Start the backend server again; it is cold."""
    node.backend_down = False
    world.nodes[node.name].backend_down = False


def drain(world: World, node: ProofNode) -> None:
    """Request that a node drains and exits."""
    if node.alive:
        world.handle(node, messages.DrainRequested())


def drain_backend(world: World, node: ProofNode) -> None:
    """Let the backend server of a node report that it drains."""
    node.backend.draining = True
    note = trace.Leaving(world.scheduler.now, node.name)
    world.recorder.add(note)


def nothing(world: World, node: ProofNode) -> None:
    """Do nothing; ends a fault that needs no recovery."""
