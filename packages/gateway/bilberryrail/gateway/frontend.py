"""Serves requests of clients on this host and of the backend server."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from bilberryrail.core.ids import Seconds, ServiceId
from bilberryrail.forwarding.exchanges import Exchange
from bilberryrail.forwarding.fingerprint import fingerprint_of
from bilberryrail.forwarding.ingress import Ingress
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.own_answers import refusal_answer
from bilberryrail.forwarding.records import HttpAnswer, HttpRequest, Route
from bilberryrail.forwarding.routes import SplitChooser
from bilberryrail.gateway.dialect import Dialect
from bilberryrail.gateway.http_server import Abandon, Respond
from bilberryrail.gateway.link import BODY_RETRY_S

#: Retry time stated to clients while no configuration is known, or while it has
#: no service for a route, in seconds.
NO_CONFIG_RETRY_S: Final = 0.3

#: Retry time stated to clients while this process shuts down, in seconds. It is
#: short because another node can serve the retry at once.
CLOSING_RETRY_S: Final = 0.05

_NOT_FOUND: Final = 404
_BAD_REQUEST: Final = 400


@dataclass(frozen=True, slots=True)
class Closing:
    """Schedule of the shutdown of this process.

    Attributes
    ----------
    accepts_until
        Time until which all new requests are accepted.
    ends_at
        Time at which the process ends and running requests are cut.
    """

    accepts_until: Seconds
    ends_at: Seconds

    def allows(self, exchange: Exchange) -> bool:
        """Return whether a new request may be accepted.

        Late in the shutdown only the deadline of a request counts. How long it
        usually takes says nothing about this one, and another node can serve it
        from the start.
        """
        if exchange.arrived_at < self.accepts_until:
            return True
        return exchange.expires_at <= self.ends_at


class Frontend:
    """Finds the route of each request and hands it to the ingress role.

    Attributes
    ----------
    caller
        Service of this node's backend server; forwarded requests name it as
        their caller.
    closing
        Schedule of the shutdown; None before it starts.
    """

    def __init__(
        self,
        clock: Any,
        dialect: Dialect,
        operators: OperatorState,
        ingress: Ingress,
        splits: SplitChooser,
        log: Callable[..., None],
    ) -> None:
        self.clock = clock
        self.dialect = dialect
        self.operators = operators
        self.ingress = ingress
        self.splits = splits
        self.log = log
        self.caller = ServiceId('')
        self.closing: Closing | None = None

    def serve(
        self,
        request: HttpRequest,
        client: str,
        respond: Respond,
    ) -> Abandon | None:
        """Serve a request; the returned function abandons it."""
        table = self.operators.table
        if table is None:
            self._refuse_with_retry(request, NO_CONFIG_RETRY_S, respond)
            return None
        host = request.header(b'host')
        if host is None:
            self._refuse(
                request, HttpAnswer(_BAD_REQUEST, is_own=True), respond
            )
            return None
        path = _path_of(request.target)
        route = table.find(host.decode('latin-1'), path)
        if route is None:
            self.log(
                'no_route',
                host=host.decode('latin-1'),
                path=path,
                version=table.config.version,
            )
            self._refuse(request, HttpAnswer(_NOT_FOUND, is_own=True), respond)
            return None
        if not route.parts:
            self.log('no_service', route=route.route)
            self._refuse_with_retry(request, NO_CONFIG_RETRY_S, respond)
            return None
        exchange = self._make_exchange(request, route, respond)
        closing = self.closing
        if closing is not None and not closing.allows(exchange):
            self.log(
                'closing_refuse',
                request=exchange.request_id,
                route=route.route,
                left_s=round(closing.ends_at - exchange.arrived_at, 3),
                needed_s=round(exchange.expires_at - exchange.arrived_at, 3),
            )
            self._refuse_with_retry(request, CLOSING_RETRY_S, respond)
            return None
        self.ingress.serve(exchange)
        return lambda: self.ingress.abandon(exchange)

    def body_refusal(self, request: HttpRequest, size: int) -> HttpAnswer:
        """Build the answer to a request whose body takes too much memory.

        Parameters
        ----------
        request
            The request without its body.
        size
            Size of the body as far as it is known, in bytes.
        """
        terms = self.dialect.client_terms(request)
        self.log('body_refuse', request=terms.request_id, size=size)
        answer = refusal_answer(BODY_RETRY_S, self.ingress.random)
        return self._with_own_headers(answer, terms.request_id)

    def _make_exchange(
        self,
        request: HttpRequest,
        route: Route,
        respond: Respond,
    ) -> Exchange:
        now = Seconds(self.clock.seconds())
        terms = self.dialect.client_terms(request)
        left_s = route.timeout_s
        if terms.remaining_s is not None:
            left_s = min(left_s, terms.remaining_s)
        return Exchange(
            request=self.dialect.with_caller(request, self.caller),
            request_id=terms.request_id,
            route=route,
            service=self.splits.choose(route),
            version=self.operators.config.version,
            arrived_at=now,
            expires_at=Seconds(now + left_s),
            respond=lambda answer: respond(
                self._with_own_headers(answer, terms.request_id),
            ),
            fingerprint=fingerprint_of(request, self.caller),
        )

    def _with_own_headers(
        self, answer: HttpAnswer, request_id: str
    ) -> HttpAnswer:
        if answer.is_own:
            own = self.dialect.own_headers(request_id)
            return HttpAnswer(answer.status, (*answer.headers, *own))
        return answer

    def _refuse_with_retry(
        self,
        request: HttpRequest,
        retry_s: float,
        respond: Respond,
    ) -> None:
        """Refuse a request and state when the client may retry."""
        answer = refusal_answer(retry_s, self.ingress.random)
        self._refuse(request, answer, respond)

    def _refuse(
        self,
        request: HttpRequest,
        answer: HttpAnswer,
        respond: Respond,
    ) -> None:
        terms = self.dialect.client_terms(request)
        respond(self._with_own_headers(answer, terms.request_id))


def _path_of(target: bytes) -> str:
    """Return the path of a request target, without scheme, host and query."""
    text = target.decode('latin-1')
    if not text.startswith('/') and '://' in text:
        rest = text.partition('://')[2].partition('/')[2]
        text = f'/{rest}'
    return text.partition('?')[0]
