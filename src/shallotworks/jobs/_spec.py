"""What a job is: steps of tasks, the queue's policy for them, and when they repeat."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["Job", "QueuePolicy", "Repeats", "Step", "TaskName", "job_problems"]

MAX_TASKS = 10_000
"""Tasks of one occurrence of a job: ten times what the target size asks of the widest job."""
MAX_CPU_MILLICORES = 10_000_000
MAX_MEMORY_MB = 100_000_000
MAX_OCCURRENCES = 1_000_000
MAX_SPEC_BYTES = 4_000
"""Source: the platform's page on jobs."""


class TaskName(NamedTuple):
    """Names one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    number: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """Tasks of one kind, which may all run at the same time.

    Args:
        count: Number of tasks.
        cpu_millicores: What each asks of a worker's processor.
        memory_mb: What each asks of its memory.
        gpus: What each asks of its accelerators.
        estimated_s: Rough length of a task.
        after: Numbers of the steps whose tasks must all be done first.
        is_checkpointed: A task that was stopped can go on where it was.
        is_gang: The tasks run only all together, and end together.
        is_one_rack: The tasks are slower when spread over racks.
        label: A label that the worker must have; empty for none.
        near_rack: The rack where the data is; empty for none.
        most_per_worker: Tasks of this step on one worker at once; 0 for any number.
        is_speculative: Copies of a task may run at the same time.
        is_lasting: The tasks run until the job is cancelled.
        image: What the tasks run; those of one image behave alike.
        target_s: The tail of a lasting task's response times must stay below it; 0 for none.
        is_filler: The tasks use what others leave of the processor, which their ``cpu_millicores``
            are not counted against.
        may_miss: Tasks of a lasting step that may be away at once by our doing; 0 where the step
            sets no such budget.
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
    """When the steps of a job run again.

    Args:
        first_s: Time of day of the first occurrence, in seconds since 1970.
        interval_s: Between occurrences.
        count: Number of occurrences.
    """

    first_s: float
    interval_s: float
    count: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuePolicy:
    """What the configuration said of a job's queue when the job was accepted.

    Args:
        queue: Name of the queue.
        service: Whose workers run its tasks.
        priority: 0 comes first.
        most_attempts: Failed runs of one task after which its job has failed.
        stretch: The objective is this multiple of the job's longest chain of work ...
        target_latency_s: ... and this much more.
        is_advised: Only workers that the advice service allows may run a step.
    """

    queue: str
    service: str
    priority: int = 0
    most_attempts: int = 1
    stretch: float = 1.0
    target_latency_s: float = 0.0
    is_advised: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A job as it was accepted; it never changes.

    Args:
        job_id: The caller's name for it.
        policy: Its queue's policy.
        spec: The caller's text, handed to each task.
        steps: Its steps.
        repeats: When they run again; ``None`` for a job that runs once, at once.
        accepted_s: Time of day of its acceptance, in seconds since 1970.
    """

    job_id: str
    policy: QueuePolicy
    spec: str
    steps: tuple[Step, ...]
    repeats: Repeats | None = None
    accepted_s: float = 0.0

    @property
    def occurrences(self) -> int:
        """How often its steps run."""
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

    def longest_chain_s(self) -> float:
        """Estimated length of the longest chain of steps."""
        ends_s: list[float] = []
        for step in self.steps:
            starts_s = max((ends_s[number] for number in step.after), default=0.0)
            ends_s.append(starts_s + step.estimated_s)
        return max(ends_s, default=0.0)

    def objective_s(self) -> float:
        """Time from acceptance, or an occurrence's due time, in which it should be done."""
        return self.policy.stretch * self.longest_chain_s() + self.policy.target_latency_s


def job_problems(job: Job) -> Iterator[str]:
    """Say what is wrong with a job, a sentence each; nothing for a sound one."""
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
