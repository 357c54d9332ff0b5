"""Tests of the answers that a job has failed: what is stored, and which record answers a caller."""

from __future__ import annotations

import asyncio
import json
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import (
    JobKeys,
    JobProgress,
    JobRequestHandler,
    JobRequestStatus,
    JobState,
    QueuePolicy,
    TaskName,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
)
from shallotworks.metrics import Metrics
from shallotworks.platform._configuration import decode_configuration
from shallotworks.platform._job_requests import decode_submission
from shallotworks.scheduling import EndKind
from shallotworks.scheduling._progress_writer import ProgressWriter
from shallotworks.standins import FaultInjectingStore, RecordFaults, RecordStore
from shallotworks.store import HeldLease
from tests.attempt_history import JOB_ID, WORKER_IDS, AttemptHistory, fail_next
from tests.held_leases import SERVICE, acquire
from tests.scheduling_fakes import WALL_S, SchedulingHarness, job, policy, quiet_log, step, view
from tests.virtual_clock import run_scenario

OTHER_JOB_ID = "00000000000000bb"
PROGRESS_KEY = JobKeys(service=SERVICE).progress(JOB_ID)
PLAIN = step(1)
ATTEMPTS = 3
FAULT_S = 1.2
"""Shorter than the time to live of a scheduler's lease."""
REQUEST_TIMEOUT_S = 1.5


class WriterHarness:
    """A scheduler's state, whose progress is written to a store.

    Args:
        store: The store, which has the job.
        client: Access of this scheduler to the store.
        lease: The service's lease.
    """

    def __init__(
        self, *, store: RecordStore, client: FaultInjectingStore, lease: HeldLease
    ) -> None:
        self.client, self.lease = client, lease
        self._store = store
        self.harness = SchedulingHarness(*(view(worker_id) for worker_id in WORKER_IDS))
        item = store.items[PROGRESS_KEY]
        self.harness.scheduler_state.add_job(
            job(JOB_ID, PLAIN, policy=policy(most_attempts=ATTEMPTS)),
            decode_progress(item.value),
            revision=item.revision,
            is_inherited=False,
            wall_s=WALL_S,
        )
        self._writer = ProgressWriter(
            scheduler_state=self.harness.scheduler_state,
            lease=lease,
            store=client,
            log=quiet_log(),
            metrics=Metrics(),
            on_stored=lambda: None,
        )
        self._tasks = [
            asyncio.create_task(self._writer.run()),
            asyncio.create_task(lease.renew_until_lost()),
        ]

    @classmethod
    async def begin(cls, store: RecordStore) -> WriterHarness:
        """Acquire the service's lease and begin to write."""
        client = FaultInjectingStore(store=store)
        return cls(store=store, client=client, lease=await acquire(client))

    def fail_run(self, run_id: int) -> None:
        """Read the end of a run that has failed."""
        self.harness.report("a", ended=((TaskName(JOB_ID, 0, 0, 0), run_id, EndKind.FAILED),))
        self._writer.wake.set()

    @property
    def stored(self) -> JobProgress:
        """The stored progress."""
        return decode_progress(self._store.items[PROGRESS_KEY].value)

    async def close(self) -> None:
        """Stop writing."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def store_with_job() -> RecordStore:
    """Return a store that has a job without progress."""
    store = RecordStore(rng=random.Random(1))
    store.put(JobKeys(service=SERVICE).job(JOB_ID), encode_job(job(JOB_ID, PLAIN)))
    store.put(PROGRESS_KEY, encode_progress(JobProgress(queue="sweeps")))
    return store


class StoredVerdictTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("no_fault", RecordFaults()),
            ("answers_lost", RecordFaults(lost_ratio=1.0)),
            ("writes_late", RecordFaults(late_ratio=1.0, late_delay_s=1.5)),
            ("late_or_lost", RecordFaults(late_ratio=0.5, late_delay_s=1.0, lost_ratio=0.5)),
            ("store_down", RecordFaults(is_down=True)),
        ]
    )
    def test_a_write_without_an_answer(self, _name: str, faults: RecordFaults) -> None:
        """Guards against attempts that count twice after a conflict with the same write."""

        async def scenario() -> None:
            scheduler = await WriterHarness.begin(store_with_job())
            for run_id in range(1, ATTEMPTS + 1):
                scheduler.client.faults = faults
                scheduler.fail_run(run_id)
                await asyncio.sleep(FAULT_S)
                scheduler.client.faults = RecordFaults()
                await asyncio.sleep(3.0)
                stored = scheduler.stored
                self.assertEqual({(0, 0, 0): tuple(range(1, run_id + 1))}, stored.failures)
                self.assertIs(run_id == ATTEMPTS, stored.state is JobState.FAILED)
            self.assertTrue(scheduler.lease.is_valid)
            await scheduler.close()

        run_scenario(scenario())

    def test_ends_that_a_scheduler_reads_after_it_has_lost_its_lease(self) -> None:
        """Guards against a verdict that a scheduler stores beside its successor."""

        async def scenario() -> None:
            store = store_with_job()
            earlier = await WriterHarness.begin(store)
            earlier.fail_run(1)
            await asyncio.sleep(1.0)
            store.revoke("")
            later = await WriterHarness.begin(store)
            for run_id in range(2, ATTEMPTS + 2):
                earlier.fail_run(run_id)
            await asyncio.sleep(1.0)
            in_memory = earlier.harness.scheduler_state.tracked_jobs[JOB_ID].progress.state
            self.assertIs(JobState.FAILED, in_memory)
            self.assertTrue(earlier.lease.lost_event.is_set())
            self.assertEqual(1, earlier.harness.worker("a").end_to_acknowledge)
            self.assertEqual({(0, 0, 0): (1,)}, later.stored.failures)
            self.assertIsNot(JobState.FAILED, later.stored.state)
            for run_id in range(1, ATTEMPTS):
                later.fail_run(run_id)
            await asyncio.sleep(1.0)
            self.assertEqual({(0, 0, 0): (1, 2)}, later.stored.failures)
            self.assertIsNot(JobState.FAILED, later.stored.state)
            for one in (earlier, later):
                await one.close()

        run_scenario(scenario())

    def test_a_write_of_another_between_two_ends(self) -> None:
        """Guards against a verdict that replaces the state which a caller's cancel has stored."""

        async def scenario() -> None:
            store = store_with_job()
            scheduler = await WriterHarness.begin(store)
            scheduler.client.faults = RecordFaults(is_down=True)
            for run_id in range(1, ATTEMPTS + 1):
                scheduler.fail_run(run_id)
            await asyncio.sleep(0.5)
            canceller = request_handler(store)
            answer = await canceller.cancel(policy(), JOB_ID, deadline_s=deadline_s())
            self.assertIs(JobRequestStatus.ACCEPTED, answer.status)
            scheduler.client.faults = RecordFaults()
            await asyncio.sleep(2.0)
            self.assertIs(JobState.CANCELLED, scheduler.stored.state)
            await scheduler.close()

        run_scenario(scenario())


def request_handler(store: RecordStore) -> JobRequestHandler:
    """Return a handler of callers' requests at a store without faults."""
    return JobRequestHandler(
        store=FaultInjectingStore(store=store),
        metrics=Metrics(),
        log=quiet_log(),
        wall_clock=lambda: WALL_S,
    )


def deadline_s() -> float:
    """Return by when a request that is sent now has to be answered."""
    return asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S


class AnsweredStateTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("another_queue", {"queue": "scans"}, "", JOB_ID, False),
            ("another_service", {"service": "radar"}, "", JOB_ID, True),
            ("another_queue_and_service", {"queue": "s", "service": "radar"}, "", JOB_ID, True),
            ("another_team", {}, "red", JOB_ID, False),
            ("another_job", {}, "", OTHER_JOB_ID, True),
        ]
    )
    def test_the_state_of_another_job_is_not_shown(
        self,
        _name: str,
        policy_fields: dict[str, object],
        team: str,
        job_id: str,
        is_accepted: bool,
    ) -> None:
        """Guards against an answer from the record of a failed job with the same id."""

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            other = policy(**policy_fields)
            failed = JobProgress(queue=other.queue, state=JobState.FAILED, team=team)
            store.put(JobKeys(service=other.service).progress(job_id), encode_progress(failed))
            handler = request_handler(store)
            answer = await handler.state(policy(), JOB_ID, deadline_s=deadline_s(), team="blue")
            self.assertIs(JobRequestStatus.NO_SUCH_JOB, answer.status)
            self.assertIsNone(answer.state)
            await handler.submit(job(JOB_ID, PLAIN, team="blue"), deadline_s=deadline_s())
            answer = await handler.state(policy(), JOB_ID, deadline_s=deadline_s(), team="blue")
            self.assertIs(JobState.QUEUED if is_accepted else None, answer.state)

        run_scenario(scenario())


def queue_policy(**route_fields: object) -> QueuePolicy:
    """Return the policy of a route in a configuration of the platform."""
    route = {"host": "h", "prefix": "/p/", "name": "sweeps", "service": SERVICE} | route_fields
    body = {"version": 1, "routes": [route], "services": [{"name": SERVICE}]}
    queue = decode_configuration(body).queue_for("h", "/p/")
    assert queue is not None
    return queue.policy


class AttemptLimitTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("missing", {}, 1),
            ("none", {"maxAttempts": 0}, 1),
            ("one", {"maxAttempts": 1}, 1),
            ("three", {"maxAttempts": 3}, 3),
        ]
    )
    def test_the_limit_is_that_of_the_route_when_the_job_was_accepted(
        self, _name: str, route_fields: dict[str, object], attempts: int
    ) -> None:
        """Guards against a failed job because its record lost the limit of its route."""
        steps = [{"count": 1, "cpu": 1000, "memMb": 100, "estimatedMs": 1000}]
        decoded = decode_submission(
            json.dumps({"spec": "x", "steps": steps}).encode(),
            job_id=JOB_ID,
            policy=queue_policy(**route_fields),
            accepted_s=WALL_S,
        )
        one_job = decode_job(encode_job(decoded.unwrap()))
        self.assertEqual(attempts, one_job.policy.most_attempts)
        history = AttemptHistory(one_job)
        for _ in range(attempts):
            self.assertFalse(history.progress.state.is_final)
            fail_next(history)
            history.store()
            history.take_over()
            self.assertEqual([], history.violations())
        self.assertIs(JobState.FAILED, history.progress.state)

    @parameterized.expand([(1, 3), (3, 1)])
    def test_a_later_limit_of_the_route_does_not_apply(self, accepted: int, later: int) -> None:
        """Guards against a failed job because its route allows fewer attempts than before."""

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            handler = request_handler(store)
            for attempts in (accepted, later):
                sent = job(JOB_ID, PLAIN, policy=queue_policy(maxAttempts=attempts))
                answer = await handler.submit(sent, deadline_s=deadline_s())
                self.assertIs(JobRequestStatus.ACCEPTED, answer.status)
            record = store.items[JobKeys(service=SERVICE).job(JOB_ID)].value
            self.assertEqual(accepted, decode_job(record).policy.most_attempts)

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
