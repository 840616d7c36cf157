"""Serves requests of clients on this host and of the backend server."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from bilberryrail.core.ids import Seconds, ServiceId
from bilberryrail.forwarding.exchanges import Exchange
from bilberryrail.forwarding.fingerprint import fingerprint_of
from bilberryrail.forwarding.ingress import Ingress, refusal_answer
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import HttpAnswer, HttpRequest, Route
from bilberryrail.forwarding.routes import SplitChooser
from bilberryrail.gateway.dialect import Dialect
from bilberryrail.gateway.http_server import Abandon, Respond

#: Retry time stated to clients while no configuration is known, in seconds.
NO_CONFIG_RETRY_S: Final = 0.3

#: Retry time stated to clients while this process shuts down, in seconds. It is
#: short because another node can serve the retry at once.
CLOSING_RETRY_S: Final = 0.05

#: Multiple of the usual duration that is reserved for a request while this
#: process shuts down; a slow host takes four to five times as long as a calm
#: one.
_SLOW_FACTOR: Final = 5.0

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
        exchange = self._make_exchange(request, route, respond)
        exchange.start_by = self._start_by(exchange)
        if exchange.arrived_at > exchange.start_by:
            self.log(
                'closing_refuse',
                request=exchange.request_id,
                route=route.route,
                left_s=round(self.closing.ends_at - exchange.arrived_at, 3),
            )
            self._refuse_with_retry(request, CLOSING_RETRY_S, respond)
            return None
        self.ingress.serve(exchange)
        return lambda: self.ingress.abandon(exchange)

    def _start_by(self, exchange: Exchange) -> Seconds:
        """Return until when a request has to start to end before this process.

        It is infinite if the request may be accepted without a condition. A
        request that must not be repeated is not accepted late, because the time
        that it takes is only an estimate; another node can serve it at once.
        """
        closing = self.closing
        if closing is None or exchange.arrived_at < closing.accepts_until:
            return Seconds(math.inf)
        if exchange.expires_at <= closing.ends_at:
            return Seconds(math.inf)
        if not exchange.route.idempotent:
            return Seconds(-math.inf)
        usual_s = self.ingress.candidates.estimates.usual_s(
            exchange.service,
            exchange.route.route,
        )
        needed_s = max(
            exchange.route.target_latency_s,
            usual_s * _SLOW_FACTOR,
        )
        return Seconds(closing.ends_at - needed_s)

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
