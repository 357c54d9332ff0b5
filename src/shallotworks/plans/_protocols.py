"""What the conductor needs of its surroundings."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from returns.result import Result

from shallotworks.errors import Failure
from shallotworks.fleet import Instance

__all__ = ["Acknowledgements", "PlanLease", "OffLoopRunner", "ProbeReport", "TargetControl"]

_Value = TypeVar("_Value")


@dataclass(frozen=True, slots=True, kw_only=True)
class ProbeReport:
    """What a target that works says of itself.

    Args:
        incarnation: Which machine it is; the same after a reboot, another after a replacement.
        reboot_id: Id of the reboot that it last came back from; empty for none.
    """

    incarnation: str
    reboot_id: str = ""


class PlanLease(Protocol):
    """The right to conduct one plan, held by one process at a time."""

    async def acquire(self) -> int:
        """Wait until it is held; returns its fencing token, which grows with every holder."""
        ...

    def is_held(self) -> bool:
        """Return whether it is held by the local clock, which may be too late to know."""
        ...

    async def release(self) -> None:
        """Give it up, where it is held."""
        ...


class Acknowledgements(Protocol):
    """How far the entry instances have come with the configuration."""

    def lowest_acknowledged_revision(self) -> int:
        """Return the newest revision that all entry instances within reach hold."""
        ...


class TargetControl(Protocol):
    """What a worker instance is asked and told; ``UNREACHABLE`` where it does not answer."""

    async def in_flight(self, instance: Instance) -> Result[int, Failure]:
        """Return the requests and jobs that it runs."""
        ...

    async def checkpoint_jobs(self, instance: Instance) -> Result[int, Failure]:
        """Have its long-running jobs checkpointed and stopped; returns how many."""
        ...

    async def reboot(
        self, instance: Instance, *, reboot_id: str, fencing_token: int
    ) -> Result[None, Failure]:
        """Reboot it once for a reboot id; from then on `probe` fails until it is back.

        Returns:
            Nothing, also where it has rebooted for this id before; ``CONFLICT`` where work is in
            flight, which the target checks as it stops taking work, so that none is cut off.
        """
        ...

    async def probe(self, instance: Instance) -> Result[ProbeReport, Failure]:
        """Have it prove that it works."""
        ...


class OffLoopRunner(Protocol):
    """Runs work off the event loop, as ``asyncio.to_thread`` does."""

    def __call__(self, work: Callable[[], _Value], /) -> Awaitable[_Value]:
        """Return what the work returns."""
        ...
