"""Tests of one attempt against a target that sends exactly the bytes given by the test."""

from __future__ import annotations

import socket
import threading
import time
import unittest

from parameterized import parameterized

from shallotworks.requests import (
    AttemptOutcome,
    HttpTargetClient,
    Request,
    RequestClass,
    Target,
    TargetClientLimits,
)

ECHO = "Shallot-Request-Id: r1\r\nShallot-Attempt: 1\r\n"
OK_LINE = "HTTP/1.1 200 OK\r\n"
ANSWER_LIMIT_BYTES = 1000
TIMEOUT_S = 5.0


class ByteTarget:
    """Accepts one connection, reads a request, sends the given bytes and closes."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listening.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def stop(self) -> None:
        """Wait until the connection is served and close the listening socket."""
        self._thread.join()
        self._listening.close()

    def _serve(self) -> None:
        connection, _ = self._listening.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(self._answer)


class WholeAnswerTests(unittest.TestCase):
    """Truncated answers, and answers to other attempts, are not returned to the caller."""

    @parameterized.expand(
        [
            ("whole", f"{OK_LINE}{ECHO}Content-Length: 4\r\n\r\nmast", AttemptOutcome.ANSWERED),
            (
                "whole in chunks",
                f"{OK_LINE}{ECHO}Transfer-Encoding: chunked\r\n\r\n4\r\nmast\r\n0\r\n\r\n",
                AttemptOutcome.ANSWERED,
            ),
            (
                "target's own error",
                f"HTTP/1.1 500 Failed\r\n{ECHO}Content-Length: 4\r\n\r\nmast",
                AttemptOutcome.TARGET_ERROR,
            ),
            (
                "not run",
                f"HTTP/1.1 503 Busy\r\n{ECHO}Shallot-Ran: no\r\nContent-Length: 0\r\n\r\n",
                AttemptOutcome.REFUSED,
            ),
            ("no stated end", f"{OK_LINE}{ECHO}\r\nmast", AttemptOutcome.BROKEN),
            ("cut", f"{OK_LINE}{ECHO}Content-Length: 9\r\n\r\nmast", AttemptOutcome.BROKEN),
            (
                "cut between chunks",
                f"{OK_LINE}{ECHO}Transfer-Encoding: chunked\r\n\r\n4\r\nmast\r\n",
                AttemptOutcome.BROKEN,
            ),
            ("cut in the headers", f"{OK_LINE}{ECHO}", AttemptOutcome.BROKEN),
            ("nothing", "", AttemptOutcome.BROKEN),
            ("no echo", f"{OK_LINE}Content-Length: 4\r\n\r\nmast", AttemptOutcome.BROKEN),
            (
                "another attempt's",
                f"{OK_LINE}{ECHO.replace('Attempt: 1', 'Attempt: 2')}"
                "Content-Length: 4\r\n\r\nmast",
                AttemptOutcome.BROKEN,
            ),
            (
                "another request's refusal",
                f"HTTP/1.1 503 Busy\r\n{ECHO.replace('r1', 'r2')}"
                "Shallot-Ran: no\r\nContent-Length: 0\r\n\r\n",
                AttemptOutcome.BROKEN,
            ),
            (
                "too long",
                f"{OK_LINE}{ECHO}Content-Length: {2 * ANSWER_LIMIT_BYTES}\r\n\r\n"
                + "x" * 2 * ANSWER_LIMIT_BYTES,
                AttemptOutcome.BROKEN,
            ),
        ]
    )
    def test_what_counts_as_answered(
        self, _name: str, answer: str, outcome: AttemptOutcome
    ) -> None:
        """Only a complete answer that echoes this request and attempt is returned."""
        target = ByteTarget(answer.encode())
        self.addCleanup(target.stop)
        limits = TargetClientLimits(
            attempt_timeout_s=TIMEOUT_S, answer_limit_bytes=ANSWER_LIMIT_BYTES
        )
        target_client = HttpTargetClient(limits=limits)
        self.addCleanup(target_client.close)
        result = target_client.send(
            Target(instance="w1", address=target.address, data_centre="here"),
            _request(),
            attempt=1,
            timeout_s=TIMEOUT_S,
        )
        self.assertIs(result.outcome, outcome)
        handed_on = outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.TARGET_ERROR)
        self.assertEqual(result.response is not None, handed_on)


def _request() -> Request:
    return Request(
        request_id="r1",
        service="traces",
        team="",
        request_class=RequestClass.INTERACTIVE,
        deadline_s=time.monotonic() + TIMEOUT_S,
        idempotent=True,
        idempotency_key="",
        method="GET",
        path="/trace",
        headers=(),
        body=b"",
    )
