"""What the scheduler needs of the world around it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from returns.result import Result

from shallotworks.errors import Failure

from ._model import OrderOutcome, PaceOrder, StartOrder, StopOrder, WorkerView

__all__ = [
    "AdviceService",
    "MachineOrderStatus",
    "Machine",
    "MachineState",
    "Machines",
    "Permits",
    "MaintenanceWave",
    "MaintenanceSchedule",
    "WorkerDirectory",
    "WorkerOrders",
]


class WorkerOrders(Protocol):
    """Gives orders to workers, each for one incarnation and under a fencing token."""

    async def poll(
        self,
        worker: WorkerView,
        *,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> OrderOutcome:
        """Ask what runs and what has ended, and extend the lease of all that runs.

        Args:
            worker: The worker.
            token: The fencing token.
            acknowledged: Ends up to this number may be forgotten.
            lease_until_ms: On the worker's clock; ``None`` to leave the lease as it is.
            wait_s: How long the worker waits for an end.
            timeout_s: Time for the whole call.
        """
        ...

    async def start(
        self, worker: WorkerView, order: StartOrder, *, token: int, lease_until_ms: int
    ) -> OrderOutcome:
        """Start a run."""
        ...

    async def stop(self, worker: WorkerView, order: StopOrder, *, token: int) -> OrderOutcome:
        """Stop a run."""
        ...

    async def pace(self, worker: WorkerView, order: PaceOrder, *, token: int) -> OrderOutcome:
        """Let a run work at a share of its speed."""
        ...


class WorkerDirectory(Protocol):
    """The workers that discovery lists."""

    def workers_of(self, service: str) -> dict[str, WorkerView]:
        """Return the listed workers of a service by id."""
        ...

    @property
    def is_synced(self) -> bool:
        """Whether the list was read whole."""
        ...

    @property
    def version(self) -> int:
        """Rises with each change of the list."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class Permits:
    """Answer of the advice service.

    Args:
        tickets: The ticket of each worker that may run the step.
        valid_s: How long they may be used.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceService(Protocol):
    """Knows which workers may run a step of some queues."""

    async def ask(
        self, step: tuple[str, int, int], worker_ids: tuple[str, ...]
    ) -> Result[Permits, Failure]:
        """Ask which of some workers may run a step."""
        ...


@unique
class MachineState(Enum):
    """States of a machine."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """A machine, which outlives the incarnations of workers on it.

    Args:
        name: Its name.
        pool: The service whose pool it is in.
        state: Its state.
        worker_id: The worker on it; empty for none.
    """

    name: str
    pool: str
    state: MachineState
    worker_id: str = ""


@unique
class MachineOrderStatus(Enum):
    """What became of an order for a machine."""

    OBEYED = "obeyed"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    MISFIT = "misfit"
    """There is no such machine, or it can't be in that pool."""
    REFUSED = "refused"
    """Nothing was done; it may be asked again."""
    UNANSWERED = "unanswered"
    """It may have been carried out."""


class Machines(Protocol):
    """The platform's machines."""

    async def list(self) -> Result[tuple[Machine, ...], Failure]:
        """Read all machines."""
        ...

    async def start_maintenance(self, machine: str, *, wave: int, token: int) -> MachineOrderStatus:
        """Take a machine down for its upkeep; all that runs there ends at once."""
        ...

    async def move(self, machine: str, *, pool: str, token: int) -> MachineOrderStatus:
        """Move a machine into another service's pool; all that runs there ends at once."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintenanceWave:
    """A wave of upkeep that the operators ask for.

    Args:
        wave: Its number.
        machines: The machines that are due.
        duration_s: Time for all of them.
        most_at_once: Machines that may be down for it at the same time.
    """

    wave: int
    machines: tuple[str, ...]
    duration_s: float
    most_at_once: int


class MaintenanceSchedule(Protocol):
    """The waves that operators ask for, and where their state is told."""

    def waves(self) -> tuple[MaintenanceWave, ...]:
        """Return all waves."""
        ...

    def status_key(self, wave: int) -> str:
        """Return the key under which a wave's state is told."""
        ...

    def encode_status(self, is_completed: bool) -> bytes:
        """Return a wave's state as the operators read it."""
        ...
