"""Callers: they submit jobs, poll their states, cancel some, and record the answers."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

import aiohttp

from shallotworks.jobs import TaskName
from shallotworks.standins import CrashingWorkers
from soak._fault_log import FaultLog
from soak._processes import EntryProcess
from soak._proxy import Proxy

HOST = "soak.example"
QUEUES = {"traces": "/traces/", "orders": "/orders/"}
"""Path prefix of each queue; a queue is served by the service of the same name."""
MAX_ATTEMPTS = 2
DEADLINE_MS = 3000
CALL_TIMEOUT_S = 3.2
CLOSE_RACE_S = 0.2
"""A connection that closes within this time of a request may have closed before it arrived."""
MAX_SUBMIT_ATTEMPTS = 12
GIVE_UP_RATIO = 0.2
"""Fraction of the callers that don't retry a refused job."""

CPU_MILLICORES = (1000, 1500)
"""CPU demand of a task in a job's first and second step."""
CRASHING_JOB_RATIO = 0.05
"""Fraction of the jobs whose first task crashes its workers."""


@dataclass(slots=True, kw_only=True)
class CalledJob:
    """A job, with what its caller knows of it.

    Args:
        job_id: Id of the job.
        queue: Queue that it is submitted to.
        tasks: Names of its tasks.
        fails: Whether its first task always fails.
        crashes: Whether its first task crashes each worker that starts it.
        is_lasting: Whether its tasks run until the job is cancelled.
        accepted_s: Monotonic time of its first acceptance; 0 if none.
        is_cancel_sent: Whether its caller has tried to cancel it.
        cancelled_s: Monotonic time at which a cancellation was acknowledged; 0 if none.
    """

    job_id: str
    queue: str
    tasks: tuple[TaskName, ...]
    fails: bool = False
    crashes: bool = False
    is_lasting: bool = False
    accepted_s: float = 0.0
    is_cancel_sent: bool = False
    cancelled_s: float = 0.0
    submit_statuses: list[int] = field(default_factory=list)
    """Status of each attempt to submit it; 0 for no answer."""
    last_state: str = ""
    """Newest state that an instance has answered; empty before the first."""


class Callers:
    """All callers of one run.

    Args:
        entries: The entry processes, each with the proxy in front of it.
        fleet: The workers; each job's tasks are registered with them before it is submitted.
        rng: Random source for everything except jobs that crash workers.
        crash_rng: Random source for the jobs that crash workers.
        fault_log: Takes violations, and knows which faults are in force.
    """

    def __init__(
        self,
        *,
        entries: dict[str, tuple[EntryProcess, Proxy]],
        fleet: CrashingWorkers,
        rng: random.Random,
        crash_rng: random.Random,
        fault_log: FaultLog,
    ) -> None:
        self.jobs: dict[str, CalledJob] = {}
        self._entries = entries
        self._fleet = fleet
        self._rng = rng
        self._crash_rng = crash_rng
        self._fault_log = fault_log
        self._session: aiohttp.ClientSession | None = None

    async def run(self, count: int, submit_period_s: float) -> None:
        """Submit jobs at random times within the period, and cancel some."""
        await asyncio.gather(*(self._run_job(number, submit_period_s) for number in range(count)))

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def state(self, job: CalledJob, name: str) -> str | None:
        """Ask one instance for a job's state; check it against the workers and earlier answers.

        Returns:
            The state, ``"gone"`` for a status of 410, or ``None`` for any other status.
        """
        status, body = await self.call("GET", name, QUEUES[job.queue] + job.job_id)
        if status == 410:
            return "gone"
        if status != 200:
            return None
        state = str(body.get("state"))
        if state == "completed" and not all(task in self._fleet.done_tasks for task in job.tasks):
            self._fault_log.record_violation(
                f"{job.job_id} is reported as completed by {name} while tasks of it are not done"
            )
        if job.last_state == "completed" and state != "completed":
            self._fault_log.record_violation(
                f"{job.job_id} is reported as {state} by {name} after it was reported as completed"
            )
        job.last_state = state
        return state

    async def call(
        self, method: str, name: str, path: str, body: object | None = None
    ) -> tuple[int, dict[str, object]]:
        """Send one request to one instance; return status 0 if there is no answer."""
        entry, proxy = self._entries[name]
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0), cookie_jar=aiohttp.DummyCookieJar()
            )
        sent_s, incarnation = time.monotonic(), entry.incarnation
        try:
            async with self._session.request(
                method,
                f"http://{proxy.address}{path}",
                json=body,
                headers={"Host": HOST, "Shallotworks-Deadline-Ms": str(DEADLINE_MS)},
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                answer = await response.json(content_type=None)
                return response.status, answer if isinstance(answer, dict) else {}
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            self._check_lost_answer(name, incarnation, sent_s, repr(error))
            return 0, {}

    def _check_lost_answer(self, name: str, incarnation: int, sent_s: float, error: str) -> None:
        """Record a violation if a request got no answer without a fault that explains it.

        A planned stop doesn't explain it: a process that stops must answer the requests that it
        has read.
        """
        waited_s = time.monotonic() - sent_s
        max_lag_s = self._fault_log.max_lag_s()
        if waited_s < CLOSE_RACE_S + max_lag_s or not self._fault_log.is_fault_free(
            name, since_s=sent_s
        ):
            return
        self._fault_log.record_violation(
            f"{name} (incarnation {incarnation}) gave no answer after {waited_s:.2f} s without a "
            f"fault (the soak's own event loop lagged by {max_lag_s:.2f} s): {error}"
        )

    async def _run_job(self, number: int, submit_period_s: float) -> None:
        await asyncio.sleep(self._rng.uniform(0, submit_period_s))
        job, body = self._draw_job(number)
        self.jobs[job.job_id] = job
        max_attempts = 1 if self._rng.random() < GIVE_UP_RATIO else MAX_SUBMIT_ATTEMPTS
        if not await self._submit(job, body, max_attempts):
            return
        if self._rng.random() < 0.1:
            # Submits the accepted job again, at an instance that is drawn again.
            await asyncio.sleep(self._rng.uniform(0, 2.0))
            await self._submit(job, body, 1)
        if not job.is_lasting and self._rng.random() < 0.12:
            await asyncio.sleep(self._rng.uniform(0, 1.0))
            await self.cancel(job)

    async def _submit(self, job: CalledJob, body: object, max_attempts: int) -> bool:
        for _ in range(max_attempts):
            name = self._rng.choice(list(self._entries))
            status, _ = await self.call("POST", name, QUEUES[job.queue] + job.job_id, body)
            job.submit_statuses.append(status)
            if status == 200:
                job.accepted_s = job.accepted_s or time.monotonic()
                return True
            if status in (400, 404, 405, 410, 413):
                self._fault_log.record_violation(
                    f"{job.job_id} was refused with status {status} by {name}"
                )
                return False
            if status in (429, 503) and max_attempts == 1:
                return False
            await asyncio.sleep(self._rng.uniform(0.1, 0.5))
        return False

    async def cancel(self, job: CalledJob) -> None:
        """Cancel a job at random instances until one acknowledges it."""
        job.is_cancel_sent = True
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            name = self._rng.choice(list(self._entries))
            status, _ = await self.call("DELETE", name, QUEUES[job.queue] + job.job_id)
            if status in (200, 410):
                job.cancelled_s = time.monotonic()
                now_s = asyncio.get_running_loop().time()
                self._fleet.cancelled.setdefault(job.job_id, now_s)
                return
            await asyncio.sleep(0.3)

    def _draw_job(self, number: int) -> tuple[CalledJob, dict[str, object]]:
        rng = self._rng
        job_id = f"{number:016x}"
        steps: list[dict[str, object]] = [
            {"count": rng.randint(1, 4), "cpu": CPU_MILLICORES[0], "memMb": 100, "estimatedMs": 800}
        ]
        is_lasting = rng.random() < 0.1
        if is_lasting:
            steps[0] |= {"longRunning": True, "mayMiss": 1}
        elif rng.random() < 0.5:
            later = {
                "count": rng.randint(1, 3),
                "cpu": CPU_MILLICORES[1],
                "memMb": 100,
                "estimatedMs": 800,
            }
            steps.append(later | {"after": [0]})
        counts = [int(str(step["count"])) for step in steps]
        tasks = tuple(
            TaskName(job_id, 0, step, index)
            for step, count in enumerate(counts)
            for index in range(count)
        )
        fails = not is_lasting and rng.random() < 0.08
        job = CalledJob(
            job_id=job_id,
            queue=rng.choice(list(QUEUES)),
            tasks=tasks,
            fails=fails,
            crashes=self._crash_rng.random() < CRASHING_JOB_RATIO,
            is_lasting=is_lasting,
        )
        self._register_tasks(job, counts)
        return job, {"spec": f"spec {number}", "steps": steps}

    def _register_tasks(self, job: CalledJob, counts: list[int]) -> None:
        """Register the job's tasks with the workers, which check their orders against them."""
        fleet = self._fleet
        if job.is_lasting:
            fleet.lasting.add(job.job_id)
        if job.fails:
            fleet.failing.add(job.tasks[0])
        if job.crashes:
            fleet.crashing.add(job.tasks[0])
        first = tuple(TaskName(job.job_id, 0, 0, index) for index in range(counts[0]))
        for task in job.tasks:
            fleet.cpu_millicores[task] = CPU_MILLICORES[task.step]
            if task.step == 1:
                fleet.task_dependencies[task] = first
