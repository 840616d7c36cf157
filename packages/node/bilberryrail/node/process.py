"""Builds the parts of a node process, starts them and closes them.

Together the parts form the shell: all code with sockets and timers around the
engine, which makes the decisions.
"""

import asyncio
from typing import Any, Final

from twisted.internet.defer import maybeDeferred
from twisted.internet.endpoints import TCP4ServerEndpoint

from bilberryrail.control.messages import DrainRequested
from bilberryrail.node import logs
from bilberryrail.node.backend_client import BackendClient
from bilberryrail.node.caller_resource import CallerResource
from bilberryrail.node.caller_server import CallerServer
from bilberryrail.node.engine_task import Engine, EngineTask
from bilberryrail.node.executor import Executor
from bilberryrail.node.http_site import BoundedSite
from bilberryrail.node.lifecycle import Hooks, Phase, new_lifecycle
from bilberryrail.node.log_client import LogClient
from bilberryrail.node.operator_server import OperatorServer
from bilberryrail.node.peer_dialer import PeerDialer
from bilberryrail.node.peer_links import PeerLinks
from bilberryrail.node.peer_server import PeerServer
from bilberryrail.settings.node import NodeSettings

#: Largest intent or plan in bytes; the largest known deployment needs about
#: 400 KB.
MAX_OPERATOR_BODY_BYTES: Final = 4_194_304
#: Interval in seconds at which the process checks whether the engine has
#: applied the log up to its end.
CATCH_UP_CHECK_S: Final = 0.05
#: Connections that may wait to be accepted, so that a burst of callers is not
#: refused.
BACKLOG: Final = 1024
#: Longest wait in seconds for links and appends to write queued data.
MAX_LINK_FLUSH_S: Final = 2.0
#: Shortest time in seconds between the end of a drain and closing. Calls that
#: peers sent before they received the Draining frame arrive in this time and
#: are refused as not run. It is longer than several round trips between
#: regions, which take 60 ms.
MIN_LINGER_S: Final = 0.5
#: Longest wait in seconds for callers to close their idle connections.
MAX_LINGER_S: Final = 2.0
#: Interval in seconds at which closing checks whether everything is written.
FLUSH_CHECK_S: Final = 0.01


class NodeProcess:
    """All parts of a running node.

    Attributes
    ----------
    finished
        Completes when everything is closed.
    """

    def __init__(
        self,
        settings: NodeSettings,
        engine: Engine,
        reactor: Any,
    ) -> None:
        self.settings = settings
        self.reactor = reactor
        self.finished: asyncio.Future[None] = asyncio.Future()
        self.engine_task = EngineTask(engine, reactor)
        self.hooks = Hooks(self._drain, self._shut_down)
        self.lifecycle = new_lifecycle(self.hooks)
        self.links = PeerLinks(self.engine_task, settings.max_body_bytes)
        self.dialer = PeerDialer(self.engine_task, self.links)
        self.callers = CallerServer(self.engine_task)
        self.backend = BackendClient(self.engine_task, settings)
        self.log = LogClient(self.engine_task, settings.log)
        self.peer_server = PeerServer(self.links, engine.identity)
        self.caller_site = BoundedSite(
            CallerResource(self.callers, self.callers.app.resource()),
            settings.max_body_bytes,
        )
        self.operator_site = BoundedSite(
            OperatorServer(self.engine_task).app.resource(),
            MAX_OPERATOR_BODY_BYTES,
        )
        self.ports: list[Any] = []

    async def start(self) -> None:
        """Open all listening sockets, then start the engine."""
        identity = self.settings.engine.identity
        await self.peer_server.start()
        await self._listen(identity.host, identity.http_port, self.caller_site)
        await self._listen(
            self.settings.operator_host,
            self.settings.operator_port,
            self.operator_site,
        )
        self.lifecycle.opened()
        self.engine_task.start(
            Executor(
                engine_task=self.engine_task,
                callers=self.callers,
                links=self.links,
                dialer=self.dialer,
                backend=self.backend,
                log=self.log,
                lifecycle=self.lifecycle,
            ),
        )
        self._check_caught_up()

    async def close(self) -> None:
        """Write queued data, then close all sockets."""
        self.engine_task.stop()
        stopping = [_as_future(port.stopListening()) for port in self.ports]
        await asyncio.gather(*stopping)
        self.links.finish_all()
        ends_at = self.reactor.seconds() + MAX_LINK_FLUSH_S
        while self._is_writing() and self.reactor.seconds() < ends_at:
            await asyncio.sleep(FLUSH_CHECK_S)
        await self.dialer.stop()
        await self.peer_server.stop()
        await self.caller_site.flush(self.reactor)
        await self.operator_site.flush(self.reactor)
        if not self.finished.done():
            self.finished.set_result(None)

    async def _linger_and_close(self) -> None:
        """Refuse calls that still arrive for a while, then close."""
        started_at = self.reactor.seconds()
        while self._must_linger(self.reactor.seconds() - started_at):
            await asyncio.sleep(FLUSH_CHECK_S)
        await self.close()

    def _must_linger(self, waited_s: float) -> bool:
        if not self.caller_site.is_closing:
            # The process was terminated before it accepted any call.
            return False
        if waited_s < MIN_LINGER_S:
            return True
        return waited_s < MAX_LINGER_S and self.caller_site.has_connections

    def _is_writing(self) -> bool:
        """Return whether a link or an append, such as Leave, is unfinished."""
        links = self.links
        return (
            bool(links.links or links.closing_links) or self.log.appending > 0
        )

    async def _listen(self, host: str, port: int, site: BoundedSite) -> None:
        endpoint = TCP4ServerEndpoint(self.reactor, port, BACKLOG, host)
        self.ports.append(await _as_future(endpoint.listen(site)))

    def _check_caught_up(self) -> None:
        if self.hooks.phase is not Phase.CATCHING_UP:
            return
        if self.engine_task.engine.plane.caught_up:
            self.lifecycle.caught_up()
        else:
            self.reactor.callLater(CATCH_UP_CHECK_S, self._check_caught_up)

    def _drain(self) -> None:
        self.caller_site.is_closing = True
        self.engine_task.submit(DrainRequested())

    def _shut_down(self) -> None:
        closing = asyncio.ensure_future(self._linger_and_close())
        closing.add_done_callback(_report_failure)


def _report_failure(closing: 'asyncio.Future[None]') -> None:
    error = closing.exception()
    if error is not None:
        logs.warning('close_failed', reason=repr(error))


def _as_future(awaited: Any) -> 'asyncio.Future[Any]':
    deferred = maybeDeferred(lambda: awaited)
    return deferred.asFuture(asyncio.get_running_loop())
