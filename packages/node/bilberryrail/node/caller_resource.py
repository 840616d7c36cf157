"""Takes usual calls straight from Twisted's HTTP server.

Routing, URL building and response handling of klein cost more than everything
else that an ingress does with a call. Whatever is not a plain call, such as a
reservation or a path that matches nothing, goes to klein.
"""

import re
from typing import Any, Final, Protocol

from twisted.internet.defer import Deferred
from twisted.web.resource import IResource, Resource
from twisted.web.server import NOT_DONE_YET

_CALL: Final = re.compile(
    rb'/v1/services/([a-z0-9][a-z0-9.-]{0,63})/calls(?:/.+)?',
)


class CallHandler(Protocol):
    """What handles a call."""

    def call(self, request: Any, service: str) -> 'Deferred[bytes] | bytes':
        """Start a call; the result is the body of its response."""


class CallerResource(Resource):
    """Root of the callers' HTTP server."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, call_handler: CallHandler, fallback: IResource) -> None:
        super().__init__()
        self.call_handler = call_handler
        self.fallback = fallback

    def render(self, request: Any) -> Any:
        """Handle a request, or pass it on."""
        match = _CALL.fullmatch(request.path)
        if match is None or request.method != b'POST':
            return self.fallback.render(request)
        response = self.call_handler.call(request, match[1].decode('ascii'))
        if not isinstance(response, Deferred):
            return response
        disconnected = request.notifyFinish()
        disconnected.addErrback(lambda _: response.cancel())
        response.addCallbacks(
            lambda body: _finish(request, body),
            # Cancelled: the caller is gone.
            lambda _: None,
        )
        return NOT_DONE_YET


def _finish(request: Any, body: bytes) -> None:
    request.write(body)
    request.finish()
