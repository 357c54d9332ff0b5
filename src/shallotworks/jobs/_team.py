"""A team: one of the organisations or departments that submit jobs, with its limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ._spec import Job, Step

__all__ = ["Resources", "Team"]


class Resources(NamedTuple):
    """Amounts of the three resources that tasks request."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    @classmethod
    def of(cls, step: Step, tasks: int = 1) -> Resources:
        """Return what a number of tasks of a step request."""
        return cls(step.cpu_millicores * tasks, step.memory_mb * tasks, step.gpus * tasks)

    @classmethod
    def of_smallest_start(cls, step: Step) -> Resources:
        """Return what the fewest tasks of a step that may start request: one, or a whole gang."""
        return cls.of(step, step.count if step.is_gang else 1)

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(*(mine + its for mine, its in zip(self, other, strict=True)))

    def minus(self, other: Resources) -> Resources:
        """Return the difference, which may be negative."""
        return Resources(*(mine - its for mine, its in zip(self, other, strict=True)))

    def at_least(self, other: Resources) -> Resources:
        """Return the larger amount of each resource."""
        return Resources(*map(max, self, other))

    def at_most(self, other: Resources) -> Resources:
        """Return the smaller amount of each resource."""
        return Resources(*map(min, self, other))

    def is_within(self, other: Resources) -> bool:
        """Whether no amount is larger."""
        return all(mine <= its for mine, its in zip(self, other, strict=True))


NO_LIMIT = Resources()


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team in one version of the configuration.

    Args:
        name: Its name.
        weight: Its share of the capacity while all of it is in use.
        limit: What its tasks may use at once, over all services; 0 for no limit on a resource.
    """

    name: str
    weight: float = 1.0
    limit: Resources = NO_LIMIT

    def may_ever_run(self, job: Job) -> bool:
        """Whether each task and each gang of a job fits into the limit by itself."""
        return all(
            not most or used <= most
            for step in job.steps
            for used, most in zip(Resources.of_smallest_start(step), self.limit, strict=True)
        )
