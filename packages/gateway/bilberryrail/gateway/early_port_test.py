"""Tests of the socket that listens before the libraries are imported."""

import socket

from bilberryrail.gateway.early_port import EarlyPort

TIMEOUT_S = 5


class FakeReactor:
    """Takes over a listening socket."""

    def adoptStreamPort(self, descriptor, family, factory):
        return socket.fromfd(descriptor, family, socket.SOCK_STREAM)


def test_client_that_connects_during_the_start_is_served():
    # Guards against refused connections while a node restarts: clients retried
    # at once, and some of them never reached a node.
    early = EarlyPort.open('127.0.0.1:0')
    address = early.listening.getsockname()
    with socket.create_connection(address, TIMEOUT_S) as client:
        client.sendall(b'GET /')
        port = early.serve(FakeReactor(), None)
        port.settimeout(TIMEOUT_S)
        accepted, _ = port.accept()
        with accepted, port:
            assert accepted.recv(100) == b'GET /'
