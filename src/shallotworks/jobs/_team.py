"""A team: one of the organisations or departments that submit jobs, with its limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ._spec import Step

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

    def may_run(self, resources: Resources) -> bool:
        """Whether the team may use these resources while nothing else of it runs."""
        return all(
            not most or used <= most for used, most in zip(resources, self.limit, strict=True)
        )
