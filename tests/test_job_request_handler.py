"""Tests of `shallotworks.jobs.JobRequestHandler`: answers to callers during faults of the store."""

import asyncio
import random
import unittest
from unittest import mock

from parameterized import parameterized
from returns.result import Result, Success

from shallotworks.errors import Failure
from shallotworks.jobs import (
    JobKeys,
    JobProgress,
    JobRequestHandler,
    JobRequestStatus,
    JobState,
    encode_progress,
)
from shallotworks.metrics import Metrics
from shallotworks.standins import FaultInjectingStore, RecordFaults, RecordStore
from shallotworks.store import Commit, Committed, Conflicted
from tests.scheduling_fakes import job, policy, quiet_log, step
from tests.virtual_clock import run_scenario

JOB = job("00000000000000aa", step(1))
KEYS = JobKeys(service="antenna")
REQUEST_TIMEOUT_S = 1.5


class SubmissionHarness:
    """A store, and a job request handler that uses it."""

    def __init__(self, **faults: object) -> None:
        self.store = RecordStore(rng=random.Random(1))
        self.view = FaultInjectingStore(store=self.store, faults=RecordFaults(**faults))  # type: ignore[arg-type]
        self.job_handler = JobRequestHandler(
            store=self.view, metrics=Metrics(), log=quiet_log(), wall_clock=lambda: 1.0
        )

    async def submit(self) -> JobRequestStatus:
        """Submit the job."""
        deadline_s = asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S
        return (await self.job_handler.submit(JOB, deadline_s=deadline_s)).status

    async def cancel(self) -> JobRequestStatus:
        """Cancel the job."""
        deadline_s = asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S
        return (await self.job_handler.cancel(policy(), JOB.job_id, deadline_s=deadline_s)).status

    async def state(self) -> JobState | JobRequestStatus:
        """Ask for the job's state."""
        deadline_s = asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S
        answer = await self.job_handler.state(policy(), JOB.job_id, deadline_s=deadline_s)
        return answer.state or answer.status


class SubmitTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("once", 1, JobRequestStatus.ACCEPTED, True),
            ("each time", 1_000, JobRequestStatus.REFUSED, False),
        ]
    )
    def test_a_conflict_that_shows_no_job_does_not_accept_one(
        self, _name: str, conflicts: int, expected: JobRequestStatus, is_stored: bool
    ) -> None:
        """Guards against a job that is answered as accepted and is not stored."""

        async def scenario() -> None:
            harness = SubmissionHarness()
            answers = [Success(Conflicted(current=()))] * conflicts
            commit = harness.view.commit

            async def conflict_or_commit(one: Commit) -> Result[Committed | Conflicted, Failure]:
                return answers.pop() if answers else await commit(one)

            with mock.patch.object(FaultInjectingStore, "commit", side_effect=conflict_or_commit):
                self.assertIs(expected, await harness.submit())
            self.assertEqual(is_stored, KEYS.progress(JOB.job_id) in harness.store.items)

        run_scenario(scenario())

    @parameterized.expand(
        [
            ("well", {}, JobRequestStatus.ACCEPTED, True),
            ("down", {"is_down": True}, JobRequestStatus.REFUSED, False),
            ("each answer lost", {"lost_ratio": 1.0}, JobRequestStatus.UNKNOWN, True),
            (
                "each done late",
                {"late_ratio": 1.0, "late_delay_s": 5.0},
                JobRequestStatus.UNKNOWN,
                True,
            ),
        ]
    )
    def test_the_answer_to_a_submission(
        self, _name: str, faults: dict[str, object], expected: JobRequestStatus, is_stored: bool
    ) -> None:
        """A refused job is never stored and an accepted one is; any other outcome is unknown."""

        async def scenario() -> None:
            harness = SubmissionHarness(**faults)
            self.assertIs(expected, await harness.submit())
            await asyncio.sleep(10)
            self.assertEqual(is_stored, KEYS.job(JOB.job_id) in harness.store.items)

        run_scenario(scenario())

    def test_no_refusal_after_a_try_with_unknown_outcome(self) -> None:
        """A caller whose job is refused submits it elsewhere, but the refused job runs too.

        The first commit is applied late and not answered, and the store refuses the second.
        """

        async def scenario() -> None:
            harness = SubmissionHarness(late_ratio=1.0, late_delay_s=4.0)
            asyncio.get_running_loop().call_later(
                0.5, lambda: setattr(harness.view.faults, "is_down", True)
            )
            self.assertIs(JobRequestStatus.UNKNOWN, await harness.submit())
            await asyncio.sleep(10)
            self.assertIn(KEYS.job(JOB.job_id), harness.store.items)

        run_scenario(scenario())

    def test_a_retry_after_a_lost_answer_is_accepted(self) -> None:
        """The second attempt finds the records of the first, so that the job is accepted."""

        async def scenario() -> None:
            harness = SubmissionHarness(lost_ratio=1.0)
            asyncio.get_running_loop().call_later(
                0.5, lambda: setattr(harness.view.faults, "lost_ratio", 0.0)
            )
            self.assertIs(JobRequestStatus.ACCEPTED, await harness.submit())

        run_scenario(scenario())

    def test_the_same_job_again_is_one_job(self) -> None:
        """A job that is submitted again stays one job, also after it was completed."""

        async def scenario() -> None:
            harness = SubmissionHarness()
            await harness.submit()
            key = KEYS.progress(JOB.job_id)
            done = JobProgress(queue="sweeps", state=JobState.COMPLETED)
            harness.store.put(key, encode_progress(done))
            self.assertIs(JobRequestStatus.ACCEPTED, await harness.submit())
            self.assertIs(JobState.COMPLETED, await harness.state())

        run_scenario(scenario())


class StateTests(unittest.TestCase):
    def test_no_such_job_only_if_the_store_confirms_it(self) -> None:
        """An accepted job is never reported as missing, not even while the store is down."""

        async def scenario() -> None:
            harness = SubmissionHarness()
            self.assertIs(JobRequestStatus.NO_SUCH_JOB, await harness.state())
            await harness.submit()
            self.assertIs(JobState.QUEUED, await harness.state())
            harness.view.faults.is_down = True
            self.assertIs(JobRequestStatus.REFUSED, await harness.state())

        run_scenario(scenario())


class CancelTests(unittest.TestCase):
    def test_acknowledged_once_stored(self) -> None:
        """A cancellation is acknowledged once it is stored, and the job stays cancelled."""

        async def scenario() -> None:
            harness = SubmissionHarness()
            self.assertIs(JobRequestStatus.NO_SUCH_JOB, await harness.cancel())
            await harness.submit()
            self.assertIs(JobRequestStatus.ACCEPTED, await harness.cancel())
            self.assertIs(JobState.CANCELLED, await harness.state())

        run_scenario(scenario())

    def test_a_completed_job_stays_completed(self) -> None:
        """A late cancellation is acknowledged and changes nothing."""

        async def scenario() -> None:
            harness = SubmissionHarness()
            await harness.submit()
            done = JobProgress(queue="sweeps", state=JobState.COMPLETED)
            harness.store.put(KEYS.progress(JOB.job_id), encode_progress(done))
            self.assertIs(JobRequestStatus.ACCEPTED, await harness.cancel())
            self.assertIs(JobState.COMPLETED, await harness.state())

        run_scenario(scenario())

    def test_progress_written_during_a_cancel_is_kept(self) -> None:
        """A scheduler's write between the cancellation's read and its write must not be lost."""

        async def scenario() -> None:
            harness = SubmissionHarness()
            await harness.submit()
            key = KEYS.progress(JOB.job_id)
            running = JobProgress(queue="sweeps", state=JobState.RUNNING, done={(0, 0): 1})
            loop = asyncio.get_running_loop()
            loop.call_later(0.006, harness.store.put, key, encode_progress(running))
            self.assertIs(JobRequestStatus.ACCEPTED, await harness.cancel())
            self.assertIn(b'"done"', harness.store.items[key].value)
            self.assertIs(JobState.CANCELLED, await harness.state())

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
