"""Serves the clients on this host, and the backend server's own calls."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.core.ids import Seconds, ServiceId
from bilberryrail.forwarding.exchanges import Exchange
from bilberryrail.forwarding.ingress import Ingress, refusal_answer
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import HttpAnswer, HttpRequest, Route
from bilberryrail.forwarding.routes import SplitChooser
from bilberryrail.gateway.dialect import Dialect
from bilberryrail.gateway.http_server import Abandon, Respond

#: Retry time while no configuration is known, in seconds.
NO_CONFIG_RETRY_S: Final = 0.3

#: Retry time while this process shuts down; another node serves sooner.
CLOSING_RETRY_S: Final = 0.05

_NOT_FOUND: Final = 404
_BAD_REQUEST: Final = 400


class Frontend:
    """Finds the route of each request and hands it to the ingress role.

    Attributes
    ----------
    caller
        Service beside this node; backend servers are told that it calls.
    is_refusing
        Whether new requests are refused because the process ends.
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
        self.is_refusing = False

    def serve(
        self,
        request: HttpRequest,
        client: str,
        respond: Respond,
    ) -> Abandon | None:
        """Start to serve a request."""
        table = self.operators.table
        if table is None or self.is_refusing:
            retry_s = CLOSING_RETRY_S if self.is_refusing else NO_CONFIG_RETRY_S
            self._refuse(
                request, refusal_answer(retry_s, self.ingress.random), respond
            )
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
        exchange = self._exchange(request, route, respond)
        self.ingress.arrive(exchange)
        return lambda: self.ingress.abandon(exchange)

    def _exchange(
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
                self._completed(answer, terms.request_id),
            ),
        )

    def _completed(self, answer: HttpAnswer, request_id: str) -> HttpAnswer:
        if answer.is_own:
            own = self.dialect.own_headers(request_id)
            return HttpAnswer(answer.status, (*answer.headers, *own))
        return answer

    def _refuse(
        self,
        request: HttpRequest,
        answer: HttpAnswer,
        respond: Respond,
    ) -> None:
        terms = self.dialect.client_terms(request)
        respond(self._completed(answer, terms.request_id))


def _path_of(target: bytes) -> str:
    """Return the path of a request's target, without its query."""
    text = target.decode('latin-1')
    if not text.startswith('/') and '://' in text:
        rest = text.partition('://')[2].partition('/')[2]
        text = f'/{rest}'
    return text.partition('?')[0]
