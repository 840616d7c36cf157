"""Installs Twisted's asyncio reactor; import this before klein or treq.

klein installs the default reactor when it is imported, and a process can
install only one. Entry points therefore import this module first.
"""

import sys
from collections.abc import Callable, Coroutine, Mapping

from twisted.internet import asyncioreactor

if 'twisted.internet.reactor' not in sys.modules:
    asyncioreactor.install()

from twisted.internet import reactor  # noqa: E402
from twisted.internet.task import react  # noqa: E402
from twisted.web.resource import IResource  # noqa: E402
from twisted.web.server import Site  # noqa: E402

LOOPBACK = '127.0.0.1'


def serve(sites: Mapping[int, IResource]) -> None:
    """Serve each resource on its loopback port until SIGTERM or Ctrl-C.

    Raises
    ------
    twisted.internet.error.CannotListenError
        If a port is already in use.
    """
    for port, resource in sites.items():
        reactor.listenTCP(port, Site(resource), interface=LOOPBACK)
    reactor.run()


def run_until_done(
    work: Callable[..., Coroutine[object, object, None]],
    *arguments: object,
) -> None:
    """Run ``work(reactor, *arguments)`` until it ends, then exit the process.

    Raises
    ------
    SystemExit
        Always; the status is 1 if the work raised an error, otherwise 0.
    """
    react(work, arguments)
