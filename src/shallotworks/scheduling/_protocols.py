"""Protocols of the scheduler's dependencies: workers, discovery, machines and maintenance."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from returns.result import Result

from shallotworks.errors import Failure
from shallotworks.jobs import Incarnation

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
    """Sends orders to workers, each to one incarnation and with a fencing token.

    No incarnation carries out an order that is meant for another one, however late the order
    arrives. Incarnations can't be told apart where the start of the intended one is not known.
    """

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
        """Poll a worker for its running and ended tasks, and extend the lease of all its runs.

        If another incarnation answers, the outcome is its report; nothing was acknowledged to it,
        and its lease was not extended.

        Args:
            worker: The incarnation that the poll is meant for.
            token: The fencing token.
            acknowledged: The worker may forget ends up to this number.
            lease_until_ms: The new end of the lease in milliseconds on the worker's clock;
                ``None`` leaves the lease as it is.
            wait_s: How long the worker waits for a task to end before it answers.
            timeout_s: Time limit of the whole call.
        """
        ...

    async def start(
        self, worker: WorkerView, order: StartOrder, *, token: int, lease_until_ms: int
    ) -> OrderOutcome:
        """Start a run; `UNSENT` with its `born_ms` if another incarnation was found."""
        ...

    async def stop(self, worker: WorkerView, order: StopOrder, *, token: int) -> OrderOutcome:
        """Stop a run; `UNSENT` with its `born_ms` if another incarnation was found."""
        ...

    async def pace(self, worker: WorkerView, order: PaceOrder, *, token: int) -> OrderOutcome:
        """Set the share of its full speed at which a run works.

        The outcome is `UNSENT`, with its `born_ms`, if another incarnation was found.
        """
        ...


class WorkerDirectory(Protocol):
    """Workers that discovery lists."""

    def workers_of(self, service: str) -> dict[str, WorkerView]:
        """Return the listed workers of a service by id."""
        ...

    @property
    def is_synced(self) -> bool:
        """Whether the list has been read completely."""
        ...

    @property
    def version(self) -> int:
        """A number that rises with each change of the list."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class Permits:
    """Answer of the advice service.

    Args:
        tickets: Tickets by the ids of the workers that may run the step.
        valid_s: How long the tickets may be used, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceService(Protocol):
    """Decides which workers may run the steps of jobs in some queues."""

    async def request_permits(
        self, step: tuple[str, int, int], worker_ids: tuple[str, ...]
    ) -> Result[Permits, Failure]:
        """Ask which of the given workers may run a step."""
        ...


@unique
class MachineState(Enum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True, kw_only=True)
class Machine:
    """A machine, on which one incarnation of a worker after another runs.

    Args:
        name: Name of the machine.
        pool: The service whose pool the machine is in.
        state: State of the machine.
        worker_id: The worker on the machine; empty for none.
        born_ms: When that worker had started, in milliseconds since 1970, as its entry in the same
            pool states; ``None`` if there is no such entry.
    """

    name: str
    pool: str
    state: MachineState
    worker_id: str = ""
    born_ms: int | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Identifies the incarnation that was on the machine when the list was read."""
        return Incarnation(worker_id=self.worker_id, born_ms=self.born_ms)


@unique
class MachineOrderStatus(Enum):
    """Outcome of an order for a machine."""

    OBEYED = "obeyed"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not-in-wave"
    MISFIT = "misfit"
    """There is no such machine, or the machine can't be in that pool."""
    REFUSED = "refused"
    """Nothing was done; the order may be repeated."""
    UNANSWERED = "unanswered"
    """The order may have been carried out."""


class Machines(Protocol):
    """The platform's machines."""

    async def list(self) -> Result[tuple[Machine, ...], Failure]:
        """Read all machines."""
        ...

    async def start_maintenance(self, machine: str, *, wave: int, token: int) -> MachineOrderStatus:
        """Take a machine down for maintenance, which ends all runs there at once."""
        ...

    async def move(self, machine: str, *, pool: str, token: int) -> MachineOrderStatus:
        """Move a machine into another service's pool, which ends all runs there at once."""
        ...


@dataclass(frozen=True, slots=True, kw_only=True)
class MaintenanceWave:
    """A wave of machine maintenance that operators have requested.

    Args:
        wave: Number of the wave.
        machines: Names of the machines to maintain.
        duration_s: Time limit of the whole wave, in seconds.
        max_at_once: How many of the machines may be down for the wave at the same time.
    """

    wave: int
    machines: tuple[str, ...]
    duration_s: float
    max_at_once: int


class MaintenanceSchedule(Protocol):
    """Maintenance waves that operators have requested, and the record of their state."""

    def waves(self) -> tuple[MaintenanceWave, ...]:
        """Return all requested waves."""
        ...

    def status_key(self, wave: int) -> str:
        """Return the store's key of a wave's state."""
        ...

    def encode_status(self, is_completed: bool) -> bytes:
        """Return a wave's state in the form that operators read."""
        ...
