"""Interfaces that the conductor and the plan registry depend on."""

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
    """Answer of a working target to a probe.

    Args:
        incarnation: Identity of the machine; unchanged by a reboot, changed by a replacement.
        reboot_id: Id of its last completed reboot; empty for none.
    """

    incarnation: str
    reboot_id: str = ""


class PlanLease(Protocol):
    """Lease on a plan: the exclusive right of one process to conduct it."""

    async def acquire(self) -> int:
        """Wait until the lease is held; return its fencing token, which grows with every holder."""
        ...

    def is_held(self) -> bool:
        """Return whether the lease is held by the local clock, which may notice its expiry late."""
        ...

    async def release(self) -> None:
        """Release the lease if it is held."""
        ...


class Acknowledgements(Protocol):
    """Configuration revisions that the entry instances have acknowledged."""

    def lowest_acknowledged_revision(self) -> int:
        """Return the newest revision that all reachable entry instances hold."""
        ...


class TargetControl(Protocol):
    """Control of worker instances; a call fails with ``UNREACHABLE`` if there is no answer."""

    async def in_flight(self, instance: Instance) -> Result[int, Failure]:
        """Return the number of requests and jobs that the instance runs."""
        ...

    async def checkpoint_jobs(self, instance: Instance) -> Result[int, Failure]:
        """Checkpoint and stop its long-running jobs; return their number."""
        ...

    async def reboot(
        self, instance: Instance, *, reboot_id: str, fencing_token: int
    ) -> Result[None, Failure]:
        """Reboot the instance once per reboot id; `probe` fails until it has come back.

        Returns:
            Nothing, also if the instance has already rebooted for this id; ``CONFLICT`` if work is
            in flight. The target checks this when it stops accepting work, so that no work is
            interrupted.
        """
        ...

    async def probe(self, instance: Instance) -> Result[ProbeReport, Failure]:
        """Check that the instance works and return its report."""
        ...


class OffLoopRunner(Protocol):
    """Runs work off the event loop, as ``asyncio.to_thread`` does."""

    def __call__(self, work: Callable[[], _Value], /) -> Awaitable[_Value]:
        """Run the work and return its result."""
        ...
