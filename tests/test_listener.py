"""Tests of `shallotworks.listener`: slow clients occupy a thread for a limited time only."""

import socket
import time
import unittest
from collections.abc import Callable, Iterable
from typing import Any

from parameterized import parameterized

from shallotworks.listener import Listener

RECEIVE_TIMEOUT_S = 0.2
REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"


def _echo(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
    body = environ["wsgi.input"].read(int(environ["CONTENT_LENGTH"]))
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def _receive_response(connection: socket.socket) -> bytes:
    response = b""
    while not response.endswith(b"body"):
        received = connection.recv(4_096)
        if not received:
            break
        response += received
    return response


class SlowSenderTests(unittest.TestCase):
    def setUp(self) -> None:
        listener = Listener(
            host="127.0.0.1",
            port=0,
            application=_echo,
            threads=1,
            receive_timeout_s=RECEIVE_TIMEOUT_S,
        )
        listener.start()
        self.addCleanup(listener.stop)
        self.port = listener.port

    def connect(self) -> socket.socket:
        connection = socket.create_connection(("127.0.0.1", self.port), timeout=5)
        self.addCleanup(connection.close)
        return connection

    @parameterized.expand(
        [("at_once", b""), ("in_the_header", REQUEST[:20]), ("in_the_body", REQUEST[:-2])]
    )
    def test_sender_that_stops_sending(self, _name: str, sent: bytes) -> None:
        """A client that stops sending must not hold the thread for the socket's timeout of 10 s.

        The thread is free for the next request after the deadline of the first one.
        """
        self.connect().sendall(sent)
        self.assert_served_soon()

    def test_slow_sender(self) -> None:
        """A client that sends a byte every 50 ms stays below the socket's timeout at each wait.

        The thread must not wait for its whole request, since the deadline covers all reads.
        """
        slow_connection = self.connect()
        started_s = time.monotonic()
        try:
            for index in range(len(REQUEST)):
                slow_connection.sendall(REQUEST[index : index + 1])
                time.sleep(0.05)
                if time.monotonic() - started_s > 2 * RECEIVE_TIMEOUT_S:
                    break
        except ConnectionError:
            pass
        self.assert_served_soon()

    def test_two_requests_on_one_connection_have_a_deadline_each(self) -> None:
        """A kept-alive connection that is older than the deadline still serves requests."""
        connection = self.connect()
        for _ in range(2):
            connection.sendall(REQUEST)
            self.assertIn(b"200 OK", _receive_response(connection))
            time.sleep(RECEIVE_TIMEOUT_S)

    def assert_served_soon(self) -> None:
        """Check that another client gets a response within five times the deadline."""
        connection = self.connect()
        connection.settimeout(5 * RECEIVE_TIMEOUT_S)
        connection.sendall(REQUEST)
        self.assertIn(b"200 OK", _receive_response(connection))
