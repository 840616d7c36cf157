"""Tests of the socket that is open before the libraries are loaded."""

import socket

from bilberryrail.gateway.early_port import EarlyPort

TIMEOUT_S = 5


class FakeReactor:
    """Takes over a listening socket."""

    def adoptStreamPort(self, descriptor, family, factory):
        return socket.fromfd(descriptor, family, socket.SOCK_STREAM)


def test_client_that_came_during_the_start_is_served():
    # Guards against clients that find nobody there while a node restarts:
    # each of them came back at once, and some never reached a node.
    early = EarlyPort.open('127.0.0.1:0')
    address = early.listening.getsockname()
    with socket.create_connection(address, TIMEOUT_S) as client:
        client.sendall(b'GET /')
        port = early.serve(FakeReactor(), None)
        port.settimeout(TIMEOUT_S)
        accepted, _ = port.accept()
        with accepted, port:
            assert accepted.recv(100) == b'GET /'
