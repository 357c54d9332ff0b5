"""Tests of the callers' HTTP server: jobs, invalid requests, idle and slow connections."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import TypeVar

from parameterized import parameterized

from shallotworks.jobs import JobRequestHandler
from shallotworks.metrics import Metrics
from shallotworks.platform._configuration import Configuration, decode_configuration
from shallotworks.platform._http import HttpAnswer, HttpClient
from shallotworks.platform._ingress import Ingress
from shallotworks.standins import FaultInjectingStore, RecordStore
from tests.scheduling_fakes import quiet_log

MAX_LATENCY_S = 0.5
"""A hundred times an answer's usual time, and a tenth of the time that stalled requests waited. How
much slower answers become beside idle connections is measured elsewhere, not tested."""
HOST = {"Host": "depot.example"}
JOB = {"spec": "x", "steps": [{"count": 2, "cpu": 500, "memMb": 10, "estimatedMs": 900}]}
JOB_ID = "5c0e7a21d94b36f8"
CONFIGURATION = {
    "version": 3,
    "routes": [
        {"name": "long", "host": "depot.example", "prefix": "/stock/long/", "service": "s"},
        {"name": "short", "host": "depot.example", "prefix": "/stock/", "service": "s"},
    ],
    "services": [{"name": "s", "standby": False}, {"name": "t", "standby": True}],
    "limits": {"maxBodyBytes": 4096},
}


class IngressHarness:
    """An ingress on a free port, with a store in memory."""

    def __init__(self) -> None:
        self.store = RecordStore(rng=random.Random(1))
        self.store_view = FaultInjectingStore(store=self.store)
        self.configuration: Configuration | None = decode_configuration(CONFIGURATION)
        self.is_store_unavailable = False
        self.outage_s = 0.0
        self.ingress = Ingress(
            job_handler=JobRequestHandler(
                store=self.store_view, metrics=Metrics(), log=quiet_log(), wall_clock=time.time
            ),
            configuration=lambda: self.configuration,
            is_store_unavailable=lambda: self.is_store_unavailable,
            outage_s=lambda: self.outage_s,
            log=quiet_log(),
            metrics=Metrics(),
        )
        self.address = _free_address()
        self.client = HttpClient(address=self.address)

    async def call(
        self, method: str, path: str, body: object = None, headers: dict[str, str] = HOST
    ) -> HttpAnswer:
        """Send a request and return its answer."""
        answer = await self.client.call(
            method,
            path,
            body=body,  # type: ignore[arg-type]
            headers=headers,
            timeout_s=3.0,
        )
        assert isinstance(answer, HttpAnswer), answer
        return answer


_Harness = TypeVar("_Harness", bound=IngressHarness)


def run(
    scenario: Callable[[_Harness], Awaitable[None]],
    make: Callable[[], _Harness] = IngressHarness,  # type: ignore[assignment]
) -> None:
    """Run a scenario against a listening ingress."""

    async def run_with_server() -> None:
        harness = make()
        await harness.ingress.listen(harness.address)
        try:
            await scenario(harness)
        finally:
            await harness.client.close()
            await harness.ingress.close()

    asyncio.run(run_with_server())


async def _post_in_pieces(harness: IngressHarness, pieces: int, gap_s: float) -> int:
    """Submit a job whose body is sent in pieces; return the status of the answer."""
    host, port = harness.address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    body = json.dumps(JOB).encode()
    head = f"POST /stock/{JOB_ID} HTTP/1.1\r\nHost: depot.example\r\nContent-Length: {len(body)}"
    writer.write(f"{head}\r\n\r\n".encode())
    size = -(-len(body) // pieces)
    reading = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
    try:
        for start in range(0, len(body), size):
            if reading.done():
                break
            writer.write(body[start : start + size])
            await asyncio.sleep(gap_s)
        answer = await reading
    finally:
        writer.close()
        await writer.wait_closed()
    return int(answer.split()[1])


class StopTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("received before the server closes", 8, 0.1, 5.0, 200),
            ("received too slowly", 40, 0.1, 0.7, 503),
        ]
    )
    def test_a_request_that_is_being_received_is_answered(
        self, _name: str, pieces: int, gap_s: float, longest_s: float, expected: int
    ) -> None:
        """Guards against a request that was read while the process stopped and gets no answer."""

        async def scenario(harness: IngressHarness) -> None:
            posting = asyncio.create_task(_post_in_pieces(harness, pieces, gap_s))
            await asyncio.sleep(0.45)
            harness.ingress.is_stopping = True
            await harness.ingress.drain(longest_s)
            await harness.ingress.close()
            self.assertEqual(expected, await posting)
            is_stored = any(key.endswith(".job") for key in harness.store.items)
            self.assertEqual(expected == 200, is_stored)

        run(scenario)

    def test_nothing_is_waited_for_without_a_request(self) -> None:
        """Guards against stops that take longer than the requests in flight need."""

        async def scenario(harness: IngressHarness) -> None:
            await harness.call("GET", "/stock/")
            started_s = time.monotonic()
            await harness.ingress.drain(5.0)
            self.assertLess(time.monotonic() - started_s, MAX_LATENCY_S)

        run(scenario)


class JobTests(unittest.TestCase):
    def test_submit_read_and_cancel_a_job(self) -> None:
        """Guards against a job whose stored state differs from what its caller was answered."""

        async def scenario(harness: IngressHarness) -> None:
            self.assertEqual(410, (await harness.call("GET", f"/stock/{JOB_ID}")).status)
            self.assertEqual(200, (await harness.call("POST", f"/stock/{JOB_ID}", JOB)).status)
            self.assertEqual(200, (await harness.call("POST", f"/stock/{JOB_ID}", JOB)).status)
            answer = await harness.call("GET", f"/stock/{JOB_ID}")
            self.assertEqual({"state": "queued"}, answer.body)
            self.assertEqual(200, (await harness.call("DELETE", f"/stock/{JOB_ID}")).status)
            answer = await harness.call("GET", f"/stock/{JOB_ID}")
            self.assertEqual({"state": "cancelled"}, answer.body)
            self.assertEqual(0, (await harness.call("GET", "/stock/")).body["pending"])

        run(scenario)

    @parameterized.expand(
        [("a superscript in UTF-8", "\u00c2\u00b2"), ("a word", "soon"), ("a sign", "-5")]
    )
    def test_a_deadline_that_is_no_number_is_ignored(self, _name: str, deadline: str) -> None:
        """Guards against a caller who is answered 500 for a digit that is no decimal one."""

        async def scenario(harness: IngressHarness) -> None:
            headers = HOST | {"Shallotworks-Deadline-Ms": deadline}
            answer = await harness.call("GET", f"/stock/{JOB_ID}", None, headers)
            self.assertEqual(410, answer.status)

        run(scenario)

    def test_longest_prefix_selects_the_queue(self) -> None:
        """Guards against finding a job of one queue in another whose prefix matches, too."""

        async def scenario(harness: IngressHarness) -> None:
            await harness.call("POST", f"/stock/long/{JOB_ID}", JOB)
            self.assertEqual(410, (await harness.call("GET", f"/stock/{JOB_ID}")).status)
            self.assertEqual(200, (await harness.call("GET", f"/stock/long/{JOB_ID}")).status)

        run(scenario)

    @parameterized.expand(
        [
            ("no job", f"/stock/{JOB_ID}", "text", 400),
            ("no steps", f"/stock/{JOB_ID}", {"spec": "x"}, 400),
            ("a cycle", f"/stock/{JOB_ID}", {"steps": [{"count": 1, "after": [0]}]}, 400),
            ("negative", f"/stock/{JOB_ID}", {"steps": [{"count": -1}]}, 400),
            ("odd type", f"/stock/{JOB_ID}", {"steps": [{"count": "2"}]}, 400),
            ("no id", "/stock/xyz", JOB, 400),
            ("too long", f"/stock/{JOB_ID}", JOB | {"spec": "x" * 5000}, 413),
            ("no queue", f"/other/{JOB_ID}", JOB, 404),
        ]
    )
    def test_invalid_submission_stores_nothing(
        self, _name: str, path: str, body: object, status: int
    ) -> None:
        """Guards against storing an invalid job, and against an error without a reason."""

        async def scenario(harness: IngressHarness) -> None:
            answer = await harness.call("POST", path, body)
            self.assertEqual(status, answer.status)
            self.assertTrue(answer.body["error"])
            self.assertEqual({}, harness.store.items)

        run(scenario)

    def test_unsupported_methods(self) -> None:
        """Guards against accepting a method that jobs or queues do not support."""

        async def scenario(harness: IngressHarness) -> None:
            self.assertEqual(405, (await harness.call("PUT", f"/stock/{JOB_ID}", JOB)).status)
            self.assertEqual(405, (await harness.call("POST", "/stock/", JOB)).status)

        run(scenario)


class RefusalTests(unittest.TestCase):
    def test_without_a_configuration(self) -> None:
        """Guards against accepting jobs or reporting readiness without a configuration."""

        async def scenario(harness: IngressHarness) -> None:
            harness.configuration = None
            self.assertEqual(503, (await harness.call("POST", f"/stock/{JOB_ID}", JOB)).status)
            self.assertFalse(harness.ingress.is_ready)

        run(scenario)

    def test_while_the_store_is_unavailable(self) -> None:
        """Guards against refusing a job late, or after it was sent to the store."""

        async def scenario(harness: IngressHarness) -> None:
            harness.is_store_unavailable = True
            started_s = time.monotonic()
            self.assertEqual(503, (await harness.call("POST", f"/stock/{JOB_ID}", JOB)).status)
            self.assertLess(time.monotonic() - started_s, 0.5)
            self.assertEqual(0, harness.store.commits)
            self.assertFalse(harness.ingress.is_ready)

        run(scenario)


class ListenerTests(unittest.TestCase):
    def test_idle_and_slow_connections_delay_no_request(self) -> None:
        """Guards against requests that time out while other connections are idle or incomplete.

        With a thread for each connection, such connections occupied all threads.
        """

        async def scenario(harness: IngressHarness) -> None:
            await _p95_latency_s(harness, 40)
            idle = [await _connect(harness.address, b"") for _ in range(500)]
            partial = [await _connect(harness.address, b"POST /stock/1 HT") for _ in range(200)]
            latency_s = await _p95_latency_s(harness, 40)
            self.assertLess(latency_s, MAX_LATENCY_S)
            for _, writer in (*idle, *partial):
                writer.close()

        run(scenario)


async def _p95_latency_s(harness: IngressHarness, count: int) -> float:
    durations: list[float] = []
    for number in range(count):
        started_s = time.monotonic()
        answer = await harness.call("POST", f"/stock/{number:016x}", JOB)
        assert answer.status == 200
        durations.append(time.monotonic() - started_s)
    return sorted(durations)[int(count * 0.95)]


async def _connect(address: str, head: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head)
    return reader, writer


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class ConfigurationTests(unittest.TestCase):
    def test_decode_configuration(self) -> None:
        """Guards against misreading queues, their prefixes, or services on standby."""
        decoded = decode_configuration(json.loads(json.dumps(CONFIGURATION)))
        self.assertEqual(frozenset({"t"}), decoded.standby)
        queue = decoded.queue_for("depot.example", "/stock/long/1")
        assert queue is not None
        self.assertEqual("long", queue.policy.queue)
        self.assertIsNone(decoded.queue_for("else.example", "/stock/1"))


if __name__ == "__main__":
    unittest.main()
