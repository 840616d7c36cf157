"""Builds the parts of a node process, opens and closes them."""

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

#: Largest intent or plan; the largest known deployment needs some 400 KB.
OPERATOR_BODY_BYTES: Final = 4_194_304
#: Interval at which the process looks whether the engine has caught up.
CATCH_UP_CHECK_S: Final = 0.05
#: Connections that wait to be accepted; a burst of callers arrives at once.
BACKLOG: Final = 1024
#: Longest wait for links and appends to write what is queued.
MAX_LINK_FLUSH_S: Final = 2.0
#: Least time between the end of a drain and closing. Calls that peers sent
#: before they read Draining arrive within it and are refused as not run; it
#: exceeds several round trips of 60 ms between regions.
MIN_LINGER_S: Final = 0.5
#: Longest wait for callers with idle connections to leave.
MAX_LINGER_S: Final = 2.0
#: Interval at which closing looks whether everything is written.
FLUSH_CHECK_S: Final = 0.01


class NodeProcess:
    """All parts of a running node.

    Attributes
    ----------
    finished
        Fires when everything is closed.
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
            OPERATOR_BODY_BYTES,
        )
        self.ports: list[Any] = []

    async def start(self) -> None:
        """Open all servers, then let the engine begin."""
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
        """Write out what is queued, then close everything."""
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
        """Refuse what is still on its way to this node, then close."""
        started_at = self.reactor.seconds()
        while self._must_linger(self.reactor.seconds() - started_at):
            await asyncio.sleep(FLUSH_CHECK_S)
        await self.close()

    def _must_linger(self, waited_s: float) -> bool:
        if not self.caller_site.is_closing:
            # The process was ended before it accepted any call.
            return False
        if waited_s < MIN_LINGER_S:
            return True
        return waited_s < MAX_LINGER_S and self.caller_site.has_connections

    def _is_writing(self) -> bool:
        """Tell whether links or appends, such as Leave, are unfinished."""
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
