"""HTTP client with persistent connections to one address."""

from http.cookiejar import CookieJar, DefaultCookiePolicy
from typing import Any

from treq.client import HTTPClient
from twisted.internet.defer import succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer


@implementer(IStreamClientEndpoint)
class NoDelayEndpoint:
    """A TCP endpoint whose connections do not delay small writes."""

    def __init__(self, reactor: Any, uri: URI, timeout_s: float) -> None:
        self.endpoint = TCP4ClientEndpoint(
            reactor,
            uri.host.decode('ascii'),
            uri.port,
            timeout=timeout_s,
        )

    def connect(self, factory: Any) -> Any:
        """Connect and disable Nagle's algorithm."""
        return self.endpoint.connect(factory).addCallback(_without_delay)


@implementer(IAgentEndpointFactory)
class EndpointFactory:
    """Builds the endpoints of an agent."""

    def __init__(self, reactor: Any, timeout_s: float) -> None:
        self.reactor = reactor
        self.timeout_s = timeout_s

    def endpointForURI(self, uri: URI) -> NoDelayEndpoint:  # noqa: N802
        """Build the endpoint for an address."""
        return NoDelayEndpoint(self.reactor, uri, self.timeout_s)


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a whole body immediately.

    Twisted's ``FileBodyProducer`` writes in later iterations of the event loop.
    """

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Any:  # noqa: N802
        """Write the whole body."""
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body has already been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body has already been written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the whole body has already been written."""


class PooledClient:
    """A treq client that sends each request exactly once.

    Cookies are rejected, because a cookie from one tenant's answer would be
    sent with another tenant's call.
    """

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self.reactor = reactor
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False
        self.agent = Agent.usingEndpointFactory(
            reactor,
            EndpointFactory(reactor, connect_timeout_s),
            self.pool,
        )
        policy = DefaultCookiePolicy(allowed_domains=())
        self.client = HTTPClient(self.agent, cookiejar=CookieJar(policy))

    def post(self, url: bytes, headers: Headers, body: bytes) -> Any:
        """Post a body and return a deferred of Twisted's response.

        This uses the agent below treq directly, because treq spends time on
        cookies, redirects, compression and URL parsing that are not needed.
        """
        return self.agent.request(b'POST', url, headers, BytesProducer(body))

    def request(self, method: str, url: str, **options: Any) -> Any:
        """Send a request and return a deferred of treq's response."""
        return self.client.request(
            method,
            url,
            allow_redirects=False,
            unbuffered=True,
            reactor=self.reactor,
            **options,
        )

    def close(self) -> Any:
        """Close idle connections."""
        return self.pool.closeCachedConnections()


def _without_delay(protocol: Any) -> Any:
    transport = protocol.transport
    if hasattr(transport, 'setTcpNoDelay'):
        transport.setTcpNoDelay(True)
    return protocol
