"""Tests of callers' requests as they arrive: jobs, bad input, idle and slow connections."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.jobs import JobRequestHandler
from shallotworks.metrics import Metrics
from shallotworks.platform._configuration import Configuration, decode_configuration
from shallotworks.platform._http import HttpAnswer, HttpClient
from shallotworks.platform._ingress import Ingress
from shallotworks.standins import FaultInjectingStore, RecordStore
from tests.scheduling_fakes import quiet_log

STALLED_S = 0.5
"""A hundred times an answer's usual time, and a tenth of what stalled requests waited; how much
slower answers become beside silent connections is measured, not tested."""
HOST = {"Host": "depot.example"}
JOB = {"spec": "x", "steps": [{"count": 2, "cpu": 500, "memMb": 10, "estimatedMs": 900}]}
ID = "5c0e7a21d94b36f8"
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
    """An ingress on a free port, over a store in memory."""

    def __init__(self) -> None:
        self.store = RecordStore(rng=random.Random(1))
        self.view = FaultInjectingStore(store=self.store)
        self.configuration: Configuration | None = decode_configuration(CONFIGURATION)
        self.is_store_unavailable = False
        self.outage_s = 0.0
        self.ingress = Ingress(
            job_handler=JobRequestHandler(
                store=self.view, metrics=Metrics(), log=quiet_log(), wall_clock=time.time
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
        """Make a call."""
        answer = await self.client.call(
            method,
            path,
            body=body,  # type: ignore[arg-type]
            headers=headers,
            timeout_s=3.0,
        )
        assert isinstance(answer, HttpAnswer), answer
        return answer


def run(scenario: Callable[[IngressHarness], Awaitable[None]]) -> None:
    """Run a scenario."""

    async def whole() -> None:
        harness = IngressHarness()
        await harness.ingress.listen(harness.address)
        try:
            await scenario(harness)
        finally:
            await harness.client.close()
            await harness.ingress.close()

    asyncio.run(whole())


class JobTests(unittest.TestCase):
    def test_a_job_is_accepted_told_of_and_cancelled(self) -> None:
        """Once it is stored."""

        async def scenario(harness: IngressHarness) -> None:
            self.assertEqual(410, (await harness.call("GET", f"/stock/{ID}")).status)
            self.assertEqual(200, (await harness.call("POST", f"/stock/{ID}", JOB)).status)
            self.assertEqual(200, (await harness.call("POST", f"/stock/{ID}", JOB)).status)
            answer = await harness.call("GET", f"/stock/{ID}")
            self.assertEqual({"state": "queued"}, answer.body)
            self.assertEqual(200, (await harness.call("DELETE", f"/stock/{ID}")).status)
            answer = await harness.call("GET", f"/stock/{ID}")
            self.assertEqual({"state": "cancelled"}, answer.body)
            self.assertEqual(0, (await harness.call("GET", "/stock/")).body["pending"])

        run(scenario)

    def test_the_longest_prefix_names_the_queue(self) -> None:
        """A job of one queue is none of another's."""

        async def scenario(harness: IngressHarness) -> None:
            await harness.call("POST", f"/stock/long/{ID}", JOB)
            self.assertEqual(410, (await harness.call("GET", f"/stock/{ID}")).status)
            self.assertEqual(200, (await harness.call("GET", f"/stock/long/{ID}")).status)

        run(scenario)

    @parameterized.expand(
        [
            ("no job", f"/stock/{ID}", "text", 400),
            ("no steps", f"/stock/{ID}", {"spec": "x"}, 400),
            ("a cycle", f"/stock/{ID}", {"steps": [{"count": 1, "after": [0]}]}, 400),
            ("negative", f"/stock/{ID}", {"steps": [{"count": -1}]}, 400),
            ("odd type", f"/stock/{ID}", {"steps": [{"count": "2"}]}, 400),
            ("no id", "/stock/xyz", JOB, 400),
            ("too long", f"/stock/{ID}", JOB | {"spec": "x" * 5000}, 413),
            ("no queue", f"/other/{ID}", JOB, 404),
        ]
    )
    def test_bad_input_leaves_nothing_behind(
        self, _name: str, path: str, body: object, status: int
    ) -> None:
        """It gets a clear error."""

        async def scenario(harness: IngressHarness) -> None:
            answer = await harness.call("POST", path, body)
            self.assertEqual(status, answer.status)
            self.assertTrue(answer.body["error"])
            self.assertEqual({}, harness.store.items)

        run(scenario)

    def test_wrong_methods(self) -> None:
        """Neither a job nor a queue can be put."""

        async def scenario(harness: IngressHarness) -> None:
            self.assertEqual(405, (await harness.call("PUT", f"/stock/{ID}", JOB)).status)
            self.assertEqual(405, (await harness.call("POST", "/stock/", JOB)).status)

        run(scenario)


class RefusalTests(unittest.TestCase):
    def test_without_a_configuration(self) -> None:
        """Refused with a time to come back, and not ready."""

        async def scenario(harness: IngressHarness) -> None:
            harness.configuration = None
            self.assertEqual(503, (await harness.call("POST", f"/stock/{ID}", JOB)).status)
            self.assertFalse(harness.ingress.is_ready)

        run(scenario)

    def test_while_the_store_is_lost(self) -> None:
        """Refused at once, truly: nothing is sent to the store."""

        async def scenario(harness: IngressHarness) -> None:
            harness.is_store_unavailable = True
            began_s = time.monotonic()
            self.assertEqual(503, (await harness.call("POST", f"/stock/{ID}", JOB)).status)
            self.assertLess(time.monotonic() - began_s, 0.5)
            self.assertEqual(0, harness.store.commits)
            self.assertFalse(harness.ingress.is_ready)

        run(scenario)


class ListenerTests(unittest.TestCase):
    def test_idle_and_slow_connections_hold_up_nobody(self) -> None:
        """All callers wait for as long as others' silent connections last.

        Five hundred connections send nothing, two hundred half a head. With a thread for each
        connection none was left, and every other request timed out.
        """

        async def scenario(harness: IngressHarness) -> None:
            await _slowest_of(harness, 40)
            silent = [await _connect(harness.address, b"") for _ in range(500)]
            halves = [await _connect(harness.address, b"POST /stock/1 HT") for _ in range(200)]
            beside_s = await _slowest_of(harness, 40)
            self.assertLess(beside_s, STALLED_S)
            for _, writer in (*silent, *halves):
                writer.close()

        run(scenario)


async def _slowest_of(harness: IngressHarness, count: int) -> float:
    durations: list[float] = []
    for number in range(count):
        began_s = time.monotonic()
        answer = await harness.call("POST", f"/stock/{number:016x}", JOB)
        assert answer.status == 200
        durations.append(time.monotonic() - began_s)
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
    def test_decoded_once(self) -> None:
        """Queues by host, the longest prefix first; pools whose machines are off."""
        read = decode_configuration(json.loads(json.dumps(CONFIGURATION)))
        self.assertEqual(frozenset({"t"}), read.standby)
        queue = read.queue_for("depot.example", "/stock/long/1")
        assert queue is not None
        self.assertEqual("long", queue.policy.queue)
        self.assertIsNone(read.queue_for("else.example", "/stock/1"))


if __name__ == "__main__":
    unittest.main()
