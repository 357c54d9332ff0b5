"""Tests of a request through the callers' port, the relay and targets over HTTP."""

from __future__ import annotations

import hashlib
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import urllib3
from parameterized import parameterized

from shallotworks.callers import CallersApplication, RequestLimits
from shallotworks.listener import Listener
from shallotworks.metrics import Metrics
from shallotworks.requests import (
    AttemptOutcome,
    HttpTargetClient,
    Relay,
    Target,
    TargetClientLimits,
)
from shallotworks.standins import WorkerFault, WorkerFaults, WorkerStandIn
from shallotworks.timeline import Timeline
from tests.fakes import FixedRetryPolicy, LoopThread, MemoryIdempotencyGuard, RoundRobinDispatcher

BODY_LIMIT_BYTES = 64 * 1024
THREADS = 16


class RelayCase(unittest.TestCase):
    """Two workers, one entry instance and one caller."""

    def setUp(self) -> None:
        self.loop_thread = LoopThread()
        self.addCleanup(self.loop_thread.stop)
        self.workers = [WorkerStandIn(name=name, reboot_s=0.2) for name in ("w1", "w2")]
        for worker in self.workers:
            worker.start()
            self.addCleanup(worker.stop)
        self.dispatcher = RoundRobinDispatcher(
            targets=[
                Target(instance=worker.name, address=worker.address, data_centre="bergen")
                for worker in self.workers
            ]
        )
        self.target_client = HttpTargetClient(limits=TargetClientLimits(attempt_timeout_s=0.4))
        self.addCleanup(self.target_client.close)
        self.retry_policy = FixedRetryPolicy(attempts=3)
        self.idempotency_guard = MemoryIdempotencyGuard()
        self.relay = Relay(
            loop=self.loop_thread.loop,
            dispatcher=self.dispatcher,
            retry_policy=self.retry_policy,
            idempotency_guard=self.idempotency_guard,
            target_client=self.target_client,
            metrics=Metrics(),
            timeline=Timeline(process="entry-1", wall_clock_s=lambda: 0.0),
            max_long_running_requests=THREADS // 2,
        )
        limits = RequestLimits(
            body_limit_bytes=BODY_LIMIT_BYTES, default_deadline_s=5.0, max_deadline_s=60.0
        )
        application = CallersApplication(
            loop=self.loop_thread.loop, relay=self.relay, limits=limits
        )
        self.listener = Listener(
            host="127.0.0.1",
            port=0,
            application=application,
            threads=THREADS,
            body_limit_bytes=4 * BODY_LIMIT_BYTES,
        )
        self.listener.start()
        self.addCleanup(self.listener.stop)
        self.caller = urllib3.PoolManager(maxsize=32, retries=False)
        self.addCleanup(self.caller.clear)

    def send(
        self, method: str = "GET", *, body: bytes = b"", **headers: str
    ) -> urllib3.BaseHTTPResponse:
        """Send one request to the callers' port; header names have underscores here."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.caller.request(
            method,
            f"http://127.0.0.1:{self.listener.port}/trace?mast=7",
            body=body,
            headers={"Shallot-Service": "trace", **named},
            timeout=10.0,
        )

    def runs(self) -> int:
        """Return how many requests the workers have run in total."""
        return sum(worker.status().counts.runs for worker in self.workers)

    def wait_released(self) -> None:
        """Wait until the loop has released every grant."""
        wait_until_s = time.monotonic() + 5
        while self.dispatcher.open_grants and time.monotonic() < wait_until_s:
            time.sleep(0.005)
        self.assertEqual(self.dispatcher.open_grants, 0)


class AnswerTests(RelayCase):
    def test_answer_is_the_targets_own(self) -> None:
        """A caller receives the target's complete answer to the body that it sent."""
        answer = self.send("POST", body=b"sweep", Shallot_Idempotent="yes")
        self.assertEqual(answer.status, 200)
        self.assertIn(hashlib.sha256(b"sweep").hexdigest(), answer.data.decode())

    def test_each_concurrent_caller_receives_its_own_answer(self) -> None:
        """Concurrent callers each receive the digest of their own request's body."""

        def ask(number: int) -> bool:
            body = f"request {number}".encode()
            answer = self.send("POST", body=body, Shallot_Idempotent="yes")
            return hashlib.sha256(body).hexdigest() in answer.data.decode()

        with ThreadPoolExecutor(max_workers=12) as callers:
            self.assertTrue(all(callers.map(ask, range(200))))
        self.wait_released()
        self.assertEqual(self.dispatcher.open_grants, 0)

    def test_last_request_releases_its_slot(self) -> None:
        """A slot becomes free soon after the answer, even if no further request follows."""
        for _ in range(3):
            self.assertEqual(self.send().status, 200)
            self.wait_released()

    def test_same_key_gives_the_first_answer(self) -> None:
        """A repeat under the same key receives the first answer, and the request runs once."""
        first = self.send("POST", body=b"two tubes", Idempotency_Key="order-1")
        again = self.send("POST", body=b"two tubes", Idempotency_Key="order-1")
        self.assertEqual(first.data, again.data)
        self.assertEqual(self.runs(), 1)

    def test_stopping_instance_refuses_as_not_run(self) -> None:
        """A stopping instance refuses new requests and reports them as not run."""
        self.relay.stop_admitting()
        answer = self.send()
        self.assertEqual((answer.status, answer.json()["ran"]), (503, "no"))
        self.assertEqual(self.runs(), 0)


class ClassTests(RelayCase):
    def test_long_running_requests_leave_threads(self) -> None:
        """Waiting long-running requests must not occupy all threads.

        An interactive request would find no thread although a slot is free for it.
        """

        def model(_number: int) -> int:
            return self.send(Shallot_Class="long-running", Work_Ms="300").status

        with ThreadPoolExecutor(max_workers=3 * THREADS) as callers:
            models = [callers.submit(model, number) for number in range(3 * THREADS)]
            time.sleep(0.2)
            started_s = time.monotonic()
            answer = self.send()
            took_s = time.monotonic() - started_s
            statuses = [each.result() for each in models]
        self.assertEqual(answer.status, 200)
        self.assertLess(took_s, 0.5)
        self.assertIn(200, statuses)
        self.assertEqual(set(statuses), {200, 503})


class BrokenTargetTests(RelayCase):
    """Workers whose answers are partial, foreign, late or failures.

    An idempotent request is answered by the other worker; a non-idempotent one that may have run is
    never sent again.
    """

    @parameterized.expand(
        [
            ("partial", WorkerFault.PARTIAL, AttemptOutcome.BROKEN),
            ("foreign", WorkerFault.FOREIGN, AttemptOutcome.BROKEN),
            ("late", WorkerFault.LATE, AttemptOutcome.TIMED_OUT),
            ("refuses", WorkerFault.REFUSE, AttemptOutcome.REFUSED),
            ("fails", WorkerFault.FAIL_ALL, AttemptOutcome.TARGET_ERROR),
        ]
    )
    def test_idempotent_request_is_answered_elsewhere(
        self, _name: str, fault: WorkerFault, outcome: AttemptOutcome
    ) -> None:
        """A request that fails at one worker is answered completely by the other."""
        self.workers[0].set_faults(WorkerFaults(fault=fault, delay_s=1.0))
        for _ in range(4):
            answer = self.send()
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.data.startswith(b"w2 "))
        self.wait_released()
        self.assertIn(outcome, self.dispatcher.outcomes)

    @parameterized.expand(
        [
            ("partial", WorkerFault.PARTIAL),
            ("foreign", WorkerFault.FOREIGN),
            ("late", WorkerFault.LATE),
        ]
    )
    def test_unsafe_request_is_sent_once(self, _name: str, fault: WorkerFault) -> None:
        """A non-idempotent request whose answer is lost is sent once and reported as unknown."""
        for worker in self.workers:
            worker.set_faults(WorkerFaults(fault=fault, delay_s=1.0))
        answer = self.send("POST", body=b"two tubes")
        self.assertEqual((answer.status, answer.json()["ran"]), (504, "unknown"))
        self.assertEqual(self.runs(), 1)

    def test_unknown_outcome_is_recorded_without_delaying_the_answer(self) -> None:
        """A claim left as held would report a repeat as in progress although nothing runs.

        The unknown outcome is recorded, and the caller does not wait for a slow store.
        """
        self.idempotency_guard.write_s = 30.0
        for worker in self.workers:
            worker.set_faults(WorkerFaults(fault=WorkerFault.PARTIAL))
        started_s = time.monotonic()
        answer = self.send("POST", body=b"two tubes", Idempotency_Key="order-1")
        self.assertLess(time.monotonic() - started_s, 3.0)
        self.assertEqual((answer.status, answer.json()["ran"]), (504, "unknown"))
        self.assertEqual(self.idempotency_guard.unknown, {"order-1"})

    def test_unsafe_request_is_retried_after_a_refusal(self) -> None:
        """A refused non-idempotent request has not run, so another target may run it."""
        self.workers[0].set_faults(WorkerFaults(fault=WorkerFault.REFUSE))
        for _ in range(2):
            answer = self.send("POST", body=b"two tubes")
            self.assertTrue(answer.data.startswith(b"w2 "))
        self.assertEqual(self.runs(), 2)

    @parameterized.expand([("refused", 2), ("no slot", 3)])
    def test_refusal_after_a_possible_run_is_reported_as_unknown(
        self, _name: str, attempts: int
    ) -> None:
        """A request whose earlier attempt may have run must not be reported as not run.

        The decision must not look at the refused last attempt only.
        """
        self.workers[0].set_faults(WorkerFaults(fault=WorkerFault.PARTIAL))
        self.workers[1].set_faults(WorkerFaults(fault=WorkerFault.REFUSE))
        self.retry_policy.attempts = attempts
        self.dispatcher.targets.reverse()
        self.dispatcher.grants_per_request = 2
        for number in range(4):
            answer = self.send("POST", body=b"sweep", Shallot_Idempotent="yes")
            self.assertEqual((answer.status, answer.json()["ran"]), (504, "unknown"))
            self.assertEqual(self.runs(), number + 1)

    def test_all_idle_connections_are_dropped_after_a_timeout(self) -> None:
        """Requests must not time out one by one on connections that a device has dropped.

        After one timeout no old connection to that target is used again.
        """
        self.dispatcher.targets = self.dispatcher.targets[:1]
        with ThreadPoolExecutor(max_workers=6) as callers:
            list(callers.map(lambda _: self.send(Work_Ms="50"), range(6)))
        self.workers[0].set_faults(WorkerFaults(fault=WorkerFault.SILENT))
        answer = self.send()
        self.assertEqual(answer.status, 200)
        self.wait_released()
        timed_out = self.dispatcher.outcomes.count(AttemptOutcome.TIMED_OUT)
        self.assertEqual(timed_out, 1)


class CrashedWorkerTests(RelayCase):
    def test_crashed_worker_closes_the_connection(self) -> None:
        """A request to a crashed worker fails without an answer and runs at the other worker."""
        self.workers[0].crash()
        answer = self.send()
        self.assertTrue(answer.data.startswith(b"w2 "))
        direct = urllib3.PoolManager(retries=False)
        self.addCleanup(direct.clear)
        self.workers[0].crash()
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            direct.request("GET", f"http://{self.workers[0].address}/")


class SlowStoreTests(RelayCase):
    def test_answer_does_not_wait_for_its_record(self) -> None:
        """An answer that has arrived must not wait for a slow store and become unknown."""
        self.idempotency_guard.write_s = 3.0
        started_s = time.monotonic()
        answer = self.send("POST", Idempotency_Key="order-1", Shallot_Deadline_Ms="1500")
        self.assertEqual(answer.status, 200)
        self.assertLess(time.monotonic() - started_s, 1.4)

    def test_stop_waits_for_record_writes(self) -> None:
        """A stop waits for records of answers already returned; a repeat would not find them."""
        self.idempotency_guard.write_s = 1.0
        self.send("POST", Idempotency_Key="order-1")
        self.assertIsNone(self.idempotency_guard.records["order-1"])
        self.loop_thread.run(self.relay.flush_records(timeout_s=5.0))
        self.assertIsNotNone(self.idempotency_guard.records["order-1"])


class BadInputTests(RelayCase):
    @parameterized.expand(
        [
            ("no service", {"Shallot_Service": ""}, 400),
            ("odd service", {"Shallot_Service": "a/../b"}, 400),
            ("odd class", {"Shallot_Class": "soon"}, 400),
            ("odd deadline", {"Shallot_Deadline_Ms": "-1"}, 400),
            ("far deadline", {"Shallot_Deadline_Ms": "999999999"}, 400),
            ("odd idempotent", {"Shallot_Idempotent": "maybe"}, 400),
            ("long key", {"Idempotency_Key": "k" * 201}, 400),
        ]
    )
    def test_header_is_refused(self, _name: str, headers: dict[str, str], status: int) -> None:
        """An invalid header is refused and nothing runs."""
        answer = self.send("POST", **headers)
        self.assertEqual(answer.status, status)
        self.assertEqual(answer.json()["ran"], "no")
        self.assertEqual(self.runs(), 0)

    def test_long_body_is_refused(self) -> None:
        """A body over the limit is refused before anything runs."""
        answer = self.send("POST", body=b"x" * (BODY_LIMIT_BYTES + 1))
        self.assertEqual(answer.status, 413)
        self.assertEqual(self.runs(), 0)
