"""Handles plain calls directly in Twisted's HTTP server, without klein.

Klein's routing, URL building and response handling cost more time than all
other work of an ingress on a call. Requests that are not plain calls, such as
reservations and paths without a route, are passed to klein.
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
    """Handles calls; implemented by ``CallerServer``."""

    def call(self, request: Any, service: str) -> 'Deferred[bytes] | bytes':
        """Start a call and return the body of its response."""


class CallerResource(Resource):
    """Root resource of the HTTP server for callers."""

    isLeaf = True  # noqa: WPS115

    def __init__(self, call_handler: CallHandler, fallback: IResource) -> None:
        super().__init__()
        self.call_handler = call_handler
        self.fallback = fallback

    def render(self, request: Any) -> Any:
        """Handle a plain call, or pass the request to the fallback."""
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
            # The deferred was cancelled because the caller disconnected.
            lambda _: None,
        )
        return NOT_DONE_YET


def _finish(request: Any, body: bytes) -> None:
    request.write(body)
    request.finish()
