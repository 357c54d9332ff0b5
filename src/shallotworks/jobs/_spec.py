"""Definition of a job: steps of tasks, the policy of its queue, and when its steps are repeated."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["Job", "QueuePolicy", "Repeats", "Step", "TaskName", "job_problems"]

MAX_TASKS = 10_000
"""Tasks of one occurrence of a job: ten times the number that the target size asks of the widest
job."""
MAX_CPU_MILLICORES = 10_000_000
MAX_MEMORY_MB = 100_000_000
MAX_OCCURRENCES = 1_000_000
MAX_SPEC_BYTES = 4_000
"""Source: the platform's page on jobs."""


class TaskName(NamedTuple):
    """Identifies one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """Tasks of one kind, which may all run at the same time.

    Args:
        count: Number of tasks.
        cpu_millicores: Processor that each task requests of a worker.
        memory_mb: Memory that each task requests.
        gpus: Accelerators that each task requests.
        estimated_s: Rough duration of a task.
        after: Numbers of the steps whose tasks must all be done first.
        is_checkpointed: A task that was stopped can resume from its checkpoint.
        is_gang: The tasks run only all together, and end together.
        is_one_rack: The tasks are slower when spread over racks.
        label: A label that the worker must have; empty for none.
        near_rack: The rack that holds the data; empty for none.
        most_per_worker: Tasks of this step on one worker at once; 0 for any number.
        is_speculative: Copies of a task may run at the same time.
        is_lasting: The tasks run until the job is cancelled.
        image: The image that the tasks run; tasks of one image behave alike.
        target_s: Upper bound for the tail of a lasting task's response times; 0 for none.
        is_filler: The tasks use the processor time that others leave; their ``cpu_millicores`` are
            not counted as used.
        may_miss: Disruption budget of a lasting step: number of its tasks that the scheduler may
            make unavailable at once; 0 if the step sets no such budget.
    """

    count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimated_s: float = 0.0
    after: tuple[int, ...] = ()
    is_checkpointed: bool = False
    is_gang: bool = False
    is_one_rack: bool = False
    label: str = ""
    near_rack: str = ""
    most_per_worker: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    image: str = ""
    target_s: float = 0.0
    is_filler: bool = False
    may_miss: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Repeats:
    """When the steps of a job are run again.

    Args:
        first_s: Time of day of the first occurrence, in seconds since 1970.
        interval_s: Time between occurrences.
        count: Number of occurrences.
    """

    first_s: float
    interval_s: float
    count: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuePolicy:
    """Configuration of a job's queue at the time when the job was accepted.

    Args:
        queue: Name of the queue.
        service: Service whose workers run its tasks.
        priority: Priority of the queue; 0 is the highest.
        most_attempts: Number of failed runs of one task at which its job fails.
        stretch: The objective for the job's duration is this multiple of the job's critical path
            (`Job.critical_path_s`), plus ``target_latency_s``.
        target_latency_s: Constant part of the objective, in seconds.
        is_advised: Only workers that the advice service allows may run a step.
        address: Host and prefix of the requests that reach the queue; empty if they are not known.
    """

    queue: str
    service: str
    priority: int = 0
    most_attempts: int = 1
    stretch: float = 1.0
    target_latency_s: float = 0.0
    is_advised: bool = False
    address: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A job as it was accepted; it never changes.

    Args:
        job_id: The id that the caller gave to it.
        policy: The policy of its queue.
        spec: Text of the caller, which is passed to each task.
        steps: Its steps.
        repeats: When the steps are run again; ``None`` for a job that runs once, at once.
        accepted_s: Time of day of its acceptance, in seconds since 1970.
        team: The team that submitted it; empty for a job of a public queue.
    """

    job_id: str
    policy: QueuePolicy
    spec: str
    steps: tuple[Step, ...]
    repeats: Repeats | None = None
    accepted_s: float = 0.0
    team: str = ""

    @property
    def occurrences(self) -> int:
        """Number of times that its steps are run."""
        return self.repeats.count if self.repeats is not None else 1

    @property
    def is_lasting(self) -> bool:
        """Whether it runs until it is cancelled."""
        return any(step.is_lasting for step in self.steps)

    def due_s(self, occurrence: int) -> float:
        """Time of day from which an occurrence may run, in seconds since 1970."""
        if self.repeats is None:
            return self.accepted_s
        return self.repeats.first_s + occurrence * self.repeats.interval_s

    def count_due(self, wall_s: float) -> int:
        """Return the number of occurrences that are due at a time of day."""
        if self.repeats is None or not self.repeats.interval_s:
            return self.occurrences if self.due_s(0) <= wall_s else 0
        passed = math.floor((wall_s - self.repeats.first_s) / self.repeats.interval_s)
        return max(0, min(self.occurrences, passed + 1))

    def critical_path_s(self) -> float:
        """Estimated duration of the longest chain of dependent steps."""
        ends_s: list[float] = []
        for step in self.steps:
            starts_s = max((ends_s[number] for number in step.after), default=0.0)
            ends_s.append(starts_s + step.estimated_s)
        return max(ends_s, default=0.0)

    def objective_s(self) -> float:
        """Time from acceptance, or an occurrence's due time, within which it should be done."""
        return self.policy.stretch * self.critical_path_s() + self.policy.target_latency_s


def job_problems(job: Job) -> Iterator[str]:
    """Yield one sentence for each problem of a job; nothing for a valid job."""
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        yield f"the spec is longer than {MAX_SPEC_BYTES} bytes"
    if not job.steps:
        yield "a job needs a step"
    if sum(step.count for step in job.steps) > MAX_TASKS:
        yield f"a job has at most {MAX_TASKS} tasks"
    for number, step in enumerate(job.steps):
        yield from (f"step {number}: {problem}" for problem in _step_problems(number, step))
    repeats = job.repeats
    if repeats is not None and not (
        0 < repeats.count <= MAX_OCCURRENCES and repeats.interval_s >= 0 and repeats.first_s >= 0
    ):
        yield "its repetition is out of range"


def _step_problems(number: int, step: Step) -> Iterator[str]:
    if step.count < 1:
        yield "it needs a task"
    if any(earlier >= number or earlier < 0 for earlier in step.after):
        yield "it may only come after earlier steps"
    if not 0 <= step.cpu_millicores <= MAX_CPU_MILLICORES:
        yield "its processor need is out of range"
    if not 0 <= step.memory_mb <= MAX_MEMORY_MB:
        yield "its memory need is out of range"
    if min(step.gpus, step.estimated_s, step.most_per_worker, step.target_s, step.may_miss) < 0:
        yield "a figure is negative"
