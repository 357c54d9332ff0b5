"""An accepted job stays one job whatever the configuration in force says of its path."""

import asyncio
import contextlib
import random
import unittest

from parameterized import parameterized

from shallotworks.jobs import (
    JobKeys,
    JobProgress,
    JobRequestHandler,
    JobRequestStatus,
    JobResponse,
    JobState,
    QueuePolicy,
    acceptance_key,
    decode_job,
    decode_progress,
    encode_job,
    encode_progress,
)
from shallotworks.metrics import Metrics
from shallotworks.scheduling import ServiceRoster
from shallotworks.standins import FaultInjectingStore, RecordFaults, RecordStore
from tests.scheduling_fakes import job, policy, quiet_log, step
from tests.scheduling_simulation import SERVICE, Instance, SchedulingSimulation
from tests.virtual_clock import run_scenario

JOB_ID = "00000000000000aa"
ADDRESS = "pule25.example/trace/"
ACCEPTED = policy(queue="trace", service="mast", address=ADDRESS)
VERSIONS = [
    ("the same", ACCEPTED, {"mast", "antenna"}),
    (
        "another service",
        policy(queue="trace", service="antenna", address=ADDRESS),
        {"mast", "antenna"},
    ),
    ("another name", policy(queue="trace-2", service="mast", address=ADDRESS), {"mast", "antenna"}),
    (
        "another of both",
        policy(queue="trace-2", service="antenna", address=ADDRESS),
        {"mast", "antenna"},
    ),
    (
        "without its service",
        policy(queue="trace-2", service="antenna", address=ADDRESS),
        {"antenna"},
    ),
    ("another path", policy(queue="trace", service="mast", address="pule25.example/t/"), {"mast"}),
]
REQUEST_TIMEOUT_S = 1.5


class IdentityHarness:
    """A store, and handlers of instances with different configurations in force."""

    def __init__(self) -> None:
        self.store = RecordStore(rng=random.Random(1))

    def handler(self, services: set[str], **faults: object) -> JobRequestHandler:
        """Return the handler of an instance."""
        return JobRequestHandler(
            store=FaultInjectingStore(store=self.store, faults=RecordFaults(**faults)),  # type: ignore[arg-type]
            metrics=Metrics(),
            log=quiet_log(),
            wall_clock=lambda: 1.0,
            services=lambda: frozenset(services),
        )

    async def submit(
        self, one: QueuePolicy, services: set[str], *, team: str = "", **faults: object
    ) -> JobRequestStatus:
        """Submit the job at an instance with the queue."""
        submitted = job(JOB_ID, step(1), policy=one, team=team)
        handler = self.handler(services, **faults)
        return (await handler.submit(submitted, deadline_s=_deadline_s())).status

    async def state(self, one: QueuePolicy, services: set[str]) -> JobResponse:
        """Ask an instance with the queue for the job's state."""
        return await self.handler(services).state(one, JOB_ID, deadline_s=_deadline_s())

    async def cancel(self, one: QueuePolicy, services: set[str]) -> JobResponse:
        """Cancel the job at an instance with the queue."""
        return await self.handler(services).cancel(one, JOB_ID, deadline_s=_deadline_s())

    async def accept(self, services: set[str], is_earlier_release: bool) -> set[str]:
        """Accept the job; return the services that may have jobs under a later configuration.

        An earlier release stores no address and no acceptance record. The job is then found only
        under a service of the roster, which keeps those that left the configuration.
        """
        if not is_earlier_release:
            await self.submit(ACCEPTED, {"mast", "antenna"})
            return services
        keys = JobKeys(service=ACCEPTED.service)
        earlier = policy(queue=ACCEPTED.queue, service=ACCEPTED.service)
        self.store.put(keys.job(JOB_ID), encode_job(job(JOB_ID, step(1), policy=earlier)))
        record = JobProgress(queue=ACCEPTED.queue)
        self.store.put(keys.progress(JOB_ID), encode_progress(record))
        return services | {ACCEPTED.service}

    def jobs(self) -> list[str]:
        """Return the keys of all jobs' records."""
        return [key for key in self.store.items if key.endswith(".job")]


def _deadline_s() -> float:
    return asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S


class RequestTests(unittest.TestCase):
    @parameterized.expand(VERSIONS)
    def test_a_repeated_submission_stores_no_second_job(
        self, _name: str, later: QueuePolicy, services: set[str]
    ) -> None:
        """Guards against an accepted job that runs twice after its path went to another queue."""

        async def scenario() -> None:
            for is_earlier_release in (False, True):
                harness = IdentityHarness()
                known = await harness.accept(services, is_earlier_release)
                self.assertIs(JobRequestStatus.ACCEPTED, await harness.submit(later, known))
                self.assertEqual([JobKeys(service="mast").job(JOB_ID)], harness.jobs())

        run_scenario(scenario())

    @parameterized.expand(VERSIONS)
    def test_a_job_is_found_and_cancelled(
        self, _name: str, later: QueuePolicy, services: set[str]
    ) -> None:
        """Guards against an accepted job that is reported as missing after a new version."""

        async def scenario() -> None:
            for is_earlier_release in (False, True):
                harness = IdentityHarness()
                known = await harness.accept(services, is_earlier_release)
                self.assertIs(JobState.QUEUED, (await harness.state(later, known)).state)
                cancelled = await harness.cancel(later, known)
                self.assertIs(JobRequestStatus.ACCEPTED, cancelled.status)
                record = harness.store.items[JobKeys(service="mast").progress(JOB_ID)]
                self.assertIs(JobState.CANCELLED, decode_progress(record.value).state)
                self.assertEqual([], harness.jobs())

        run_scenario(scenario())

    @parameterized.expand(
        [
            ("answered", {}),
            ("carried out late", {"late_ratio": 0.5, "late_delay_s": 0.4}),
            ("answers lost", {"lost_ratio": 0.5}),
        ]
    )
    def test_submissions_under_two_versions_store_one_job(
        self, _name: str, faults: dict[str, object]
    ) -> None:
        """Guards against two jobs from one moment in which instances have different versions."""

        async def scenario() -> None:
            later = policy(queue="trace-2", service="antenna", address=ADDRESS)
            for seed in range(20):
                harness = IdentityHarness()
                harness.store.rng.seed(seed)
                await asyncio.gather(
                    harness.submit(ACCEPTED, {"mast"}, **faults),
                    harness.submit(later, {"antenna"}, **faults),
                    harness.submit(ACCEPTED, {"mast"}, **faults),
                )
                await asyncio.sleep(5.0)
                self.assertEqual(1, len(harness.jobs()), f"seed {seed}")

        run_scenario(scenario())

    @parameterized.expand(
        [
            ("of the service", policy(queue="sweep", service="mast", address="h/sweep/")),
            ("of another one", policy(queue="sweep", service="antenna", address="h/sweep/")),
        ]
    )
    def test_an_id_that_another_queue_uses_is_refused(self, _name: str, other: QueuePolicy) -> None:
        """Guards against a job that is answered as accepted and is not stored."""

        async def scenario() -> None:
            harness = IdentityHarness()
            await harness.submit(ACCEPTED, {"mast", "antenna"})
            services = {"mast", "antenna"}
            self.assertIs(JobRequestStatus.ID_TAKEN, await harness.submit(other, services))
            for response in (
                await harness.state(other, services),
                await harness.cancel(other, services),
            ):
                self.assertIs(JobRequestStatus.NO_SUCH_JOB, response.status)
            self.assertIs(JobState.QUEUED, (await harness.state(ACCEPTED, services)).state)

        run_scenario(scenario())

    def test_an_acceptance_record_without_a_job_blocks_no_submission(self) -> None:
        """Guards against a lost job whose id an earlier release deleted without that record."""

        async def scenario() -> None:
            harness = IdentityHarness()
            await harness.submit(ACCEPTED, {"mast"})
            keys = JobKeys(service="mast")
            for key in (keys.job(JOB_ID), keys.progress(JOB_ID)):
                harness.store.delete(key)
            later = policy(queue="trace", service="antenna", address=ADDRESS)
            self.assertIs(JobRequestStatus.ACCEPTED, await harness.submit(later, {"antenna"}))
            self.assertEqual([JobKeys(service="antenna").job(JOB_ID)], harness.jobs())

        run_scenario(scenario())

    def test_a_job_of_another_team_stays_hidden(self) -> None:
        """Guards against a team that learns of another team's job over a new version."""

        async def scenario() -> None:
            harness = IdentityHarness()
            await harness.submit(ACCEPTED, {"mast"}, team="red")
            later = policy(queue="trace-2", service="antenna", address=ADDRESS)
            status = await harness.submit(later, {"antenna"}, team="blue")
            self.assertIs(JobRequestStatus.ID_TAKEN, status)
            response = await harness.handler({"antenna"}).state(
                later, JOB_ID, deadline_s=_deadline_s(), team="blue"
            )
            self.assertIs(JobRequestStatus.NO_SUCH_JOB, response.status)

        run_scenario(scenario())

    @parameterized.expand(VERSIONS[:-1])
    def test_pending_counts_jobs_with_the_earlier_service(
        self, _name: str, later: QueuePolicy, services: set[str]
    ) -> None:
        """Guards against accepted jobs that a new version hides from the count."""

        async def scenario() -> None:
            harness = IdentityHarness()
            simulation = SchedulingSimulation(
                seed=1, workers=0, instances=1, service="mast", store=harness.store
            )
            simulation.instances[0].start()
            await harness.submit(ACCEPTED, {"mast"})
            await asyncio.sleep(5.0)
            response = await harness.handler(services).waiting(later, deadline_s=_deadline_s())
            self.assertEqual(1, response.waiting)
            await simulation.kill()

        run_scenario(scenario())

    def test_a_release_that_does_not_know_a_field_reads_the_record(self) -> None:
        """Guards against an upgrade in which instances can't read each other's jobs."""
        record = encode_job(job(JOB_ID, step(1), policy=ACCEPTED))
        later = record.replace(b'"address"', b'"unknown"')
        self.assertNotEqual(record, later)
        self.assertEqual("trace", decode_job(later).policy.queue)


class RosterHarness:
    """A simulated service whose instances bid for the services of a roster."""

    def __init__(self, **changes: object) -> None:
        self.simulation = SchedulingSimulation(seed=1, **changes)  # type: ignore[arg-type]
        self.rosters: dict[str, ServiceRoster] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, services: frozenset[str]) -> None:
        """Start the instances that have not started, with a configuration in force."""
        for instance in self.simulation.instances:
            if instance.name not in self.rosters:
                instance.start()
                self._follow(instance, services)

    def _follow(self, instance: Instance, services: frozenset[str]) -> None:
        roster = ServiceRoster(
            store=instance.store,
            clock=instance.now_s,
            log=quiet_log(),
            on_change=lambda: instance.elector.set_services(set(roster.services)),
        )
        self.rosters[instance.name] = roster
        instance.may_be_given_up = roster.may_be_given_up
        roster.configure(services)
        self._tasks.append(asyncio.create_task(roster.run()))

    def configure(self, services: frozenset[str]) -> None:
        """Bring a configuration into force at all instances."""
        for roster in self.rosters.values():
            roster.configure(services)

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await self.simulation.kill()


BOTH = frozenset({SERVICE, "other"})
OTHER = frozenset({"other"})


class RemovedServiceTests(unittest.TestCase):
    @parameterized.expand([("at once", False), ("after the version", True)])
    def test_jobs_of_a_service_that_left_the_configuration_end(
        self, _name: str, is_restarted: bool
    ) -> None:
        """Guards against accepted jobs that nobody runs after their scheduler was killed."""

        async def scenario() -> None:
            harness = RosterHarness()
            simulation = harness.simulation
            harness.start(BOTH)
            await asyncio.sleep(3.0)
            await simulation.submit(
                "00000000000000aa", step(2, estimated_s=4.0), step(1, after=(0,))
            )
            harness.configure(OTHER)
            await asyncio.sleep(0.5)
            victims = list(simulation.instances) if is_restarted else [simulation.scheduler()]
            for victim in victims:
                assert victim is not None
                simulation.instances.remove(victim)
                await victim.kill()
            if is_restarted:
                simulation.instances.append(simulation._make_instance(9))
                harness.start(OTHER)
            await asyncio.sleep(40.0)
            self.assertEqual([], simulation.violations())
            await harness.stop()

        run_scenario(scenario())

    def test_a_service_without_jobs_is_given_up(self) -> None:
        """Guards against schedulers that run forever for services that left the configuration."""

        async def scenario() -> None:
            harness = RosterHarness()
            harness.start(BOTH)
            await asyncio.sleep(3.0)
            harness.configure(OTHER)
            await asyncio.sleep(20.0)
            self.assertIsNotNone(harness.simulation.scheduler())
            await asyncio.sleep(60.0)
            self.assertIsNone(harness.simulation.scheduler())
            for roster in harness.rosters.values():
                self.assertEqual(OTHER, roster.services)
            await harness.stop()

        run_scenario(scenario())

    def test_a_service_is_kept_while_the_store_does_not_answer(self) -> None:
        """Guards against a service that is given up because its record could not be read."""

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            view = FaultInjectingStore(store=store)
            changes: list[frozenset[str]] = []
            roster = ServiceRoster(
                store=view,
                clock=asyncio.get_running_loop().time,
                log=quiet_log(),
                on_change=lambda: changes.append(roster.services),
            )
            running = asyncio.create_task(roster.run())
            roster.configure(BOTH)
            await asyncio.sleep(1.0)
            view.faults.is_down = True
            roster.configure(OTHER)
            await asyncio.sleep(100.0)
            self.assertEqual(BOTH, roster.services)
            view.faults.is_down = False
            await asyncio.sleep(10.0)
            self.assertEqual(OTHER, roster.services)
            roster.configure(BOTH)
            self.assertEqual([BOTH, BOTH, OTHER, BOTH], changes)
            running.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await running

        run_scenario(scenario())


class AcceptanceRecordTests(unittest.TestCase):
    def test_the_record_is_deleted_with_the_job(self) -> None:
        """Guards against a record for each job that was ever accepted."""

        async def scenario() -> None:
            simulation = SchedulingSimulation(seed=1, instances=1)
            simulation.instances[0].start()
            await asyncio.sleep(3.0)
            await simulation.submit(JOB_ID, step(1))
            self.assertIn(acceptance_key(JOB_ID), simulation.store.items)
            await asyncio.sleep(600.0)
            self.assertNotIn(acceptance_key(JOB_ID), simulation.store.items)
            self.assertNotIn(JobKeys(service=SERVICE).progress(JOB_ID), simulation.store.items)
            await simulation.kill()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
