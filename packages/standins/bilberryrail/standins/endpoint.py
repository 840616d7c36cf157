"""Blocking HTTP client for one loopback port, for the demo and tests."""

from contextlib import closing
from dataclasses import dataclass
from http.client import HTTPConnection
from typing import Any

import msgspec

from bilberryrail.standins.processes import LOOPBACK


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Sends requests to a port, each over a new connection.

    Raises
    ------
    OSError, http.client.HTTPException
        From every method, if no complete answer arrives in time.
    """

    port: int
    timeout_s: float = 10

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> tuple[int, bytes]:
        """Send one request and return the status and body of the answer."""
        connection = HTTPConnection(
            LOOPBACK,
            self.port,
            timeout=self.timeout_s,
        )
        with closing(connection):
            connection.request(method, path, body)
            answer = connection.getresponse()
            return answer.status, answer.read()

    def json(self, method: str, path: str, body: object = None) -> Any:
        """Send a JSON body, or none for None; return the decoded answer."""
        encoded = b'' if body is None else msgspec.json.encode(body)
        return msgspec.json.decode(self.send(method, path, encoded)[1])
