"""One entry instance on the users' platform: connects the product's components to the platform."""

from __future__ import annotations

import asyncio
import math
import signal
import time
from collections.abc import Awaitable

from absl import logging
from returns.result import Success

from shallotworks.errors import attributes_of
from shallotworks.jobs import JobKeys, JobRequestHandler, Team
from shallotworks.logs import StructuredLog
from shallotworks.metrics import LoadMonitor, Metrics, summarise, to_exposition
from shallotworks.scheduling import (
    MACHINES_PREFIX,
    LeaderElector,
    MachineController,
    MachineControllerDependencies,
    MachineRecords,
    OrderTimes,
    SchedulerDependencies,
    ServiceRoster,
    ServiceScheduler,
)
from shallotworks.store import HeldLease, LeaseTiming, PrefixWatcher

from ._configuration import OPERATORS_PREFIX, Configuration, OperatorRecords
from ._configuration_proof import ConfigurationProof
from ._http import HttpClient, close_all
from ._ingress import Admission, Ingress
from ._machines import PlatformAdvice, PlatformMachines
from ._store import PlatformStore
from ._workers import REGISTRY_PREFIX, PlatformOrders, WorkerRegistry
from .settings import PlatformSettings, load_platform_settings

__all__ = ["serve"]

LEASES_PREFIX = "shallotworks/duty/"
SCHEDULER_KEY_PREFIX = "scheduler/"
MACHINE_CONTROLLER_KEY = "keeper"
METRICS_PORT = 9464
MAX_WORKER_LIST_AGE_S = 2.5
"""The list of workers counts as current for this long after an answer of its watch. The time allows
for two answers: workers write their entries more often."""
SHUTDOWN_SERVE_S = 2.6
"""Callers are served for this long after the signal to stop: the platform checks readiness once a
second and sends new connections until two checks have failed."""
MIN_SCHEDULER_CORES = 1.0
"""A scheduler with fewer cores lacks processor time while it decides on its queue."""
MIN_CONTROLLER_STRENGTH_RATIO = 3.0
"""A new machine controller leaves the machines alone that its predecessor has just ordered, so it
takes over only from an instance that is weaker by this factor."""
MIN_SCHEDULER_LINK_MBPS = 50.0
"""A scheduler reads up to 1 MB at its start, which should take a fraction of a second."""
SHUTDOWN_SERVE_RATIO = 0.5
"""Largest part of the stop grace period in which new requests are served; requests in flight need
the rest."""
SHUTDOWN_DRAIN_RATIO = 0.65
"""Largest part of the stop grace period in which requests are received; those that have arrived by
then need up to 1.6 s more."""
MACHINES_WATCH_PAUSE_S = 0.1
"""Schedulers publish their demand ten times a second; the machine controller acts five times a
second."""
REGISTRY_WATCH_PAUSE_S = 0.4
"""40 workers together write their entries 30 times a second. The pause saves calls and loses no
state: a draining worker still serves for 2 s."""


def serve(path: str | None = None) -> int:
    """Run one entry instance until SIGTERM or SIGINT.

    Args:
        path: The settings file; by default the one that the environment names.

    Returns:
        The exit code: 0 after a graceful stop, otherwise that of the error kind.
    """
    loaded = load_platform_settings(path)
    if not isinstance(loaded, Success):
        logging.error("%s", loaded.failure())
        return attributes_of(loaded.failure().kind).exit_code
    asyncio.run(_Daemon(settings=loaded.unwrap(), path=path).run())
    return 0


def boot_time_s() -> float:
    """Return seconds since the boot, including the time in which the machine was suspended.

    The event loop's clock stops during a suspension: with it, a scheduler that resumes would send
    orders that it decided before and assume that its lease is still valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Daemon:
    """Creates and runs the components of one entry instance.

    Args:
        settings: Settings of the instance.
        path: File of the settings, which SIGHUP reads again; ``None`` for the default.
    """

    def __init__(self, *, settings: PlatformSettings, path: str | None) -> None:
        self._settings = settings
        self._path = path
        self._log = StructuredLog(process=settings.instance)
        self._metrics = Metrics()
        self._store_client = HttpClient(address=settings.store_address)
        self._machines_client = HttpClient(address=settings.machines_address)
        self._advice_client = HttpClient(address=settings.advice_address)
        self._store = PlatformStore(client=self._store_client, metrics=self._metrics)
        self._orders = PlatformOrders()
        self._registry = WorkerRegistry(log=self._log)
        self._workers_answered_s = -math.inf
        self._configuration_proof = ConfigurationProof(
            revocation_s=settings.bounds.revocation_s, clock=boot_time_s
        )
        self._operator_records = OperatorRecords(
            on_configuration=self._on_configuration, log=self._log, metrics=self._metrics
        )
        self._roster = ServiceRoster(
            store=self._store, clock=boot_time_s, log=self._log, on_change=self._bid_for_services
        )
        self._machine_records = MachineRecords(log=self._log)
        self._lease_timing = LeaseTiming(ttl_s=max(LeaseTiming().ttl_s, settings.smallest_ttl_s))
        self._dependencies = self._make_dependencies()
        self._schedulers: dict[str, ServiceScheduler] = {}
        self._elector = LeaderElector(
            store=self._store,
            key_prefix=LEASES_PREFIX,
            marker_key_of=_marker_key_of,
            instance=settings.instance,
            run_epoch=self._run_epoch,
            clock=boot_time_s,
            timing=self._lease_timing,
            log=self._log,
            strength=_strength_of(settings),
            min_strength_ratios={MACHINE_CONTROLLER_KEY: MIN_CONTROLLER_STRENGTH_RATIO},
            prepare=self._prepare_epoch,
            is_movable=self._is_movable,
        )
        self._ingress = Ingress(
            job_handler=JobRequestHandler(
                store=self._store,
                metrics=self._metrics,
                log=self._log,
                wall_clock=time.time,
                services=lambda: self._roster.services,
            ),
            configuration=lambda: self._operator_records.configuration,
            is_store_unavailable=lambda: self._store.is_unavailable,
            outage_s=lambda: self._store.outage_s,
            log=self._log,
            metrics=self._metrics,
            admission=Admission(
                are_keys_required=settings.are_keys_required,
                is_configuration_proven=lambda: self._configuration_proof.is_valid,
            ),
        )
        self._load = LoadMonitor(
            cores=settings.cores,
            metrics=self._metrics,
            log=self._log,
            processor_clock=time.process_time,
            held_leases=self._elector.held_services,
        )
        self._stop = asyncio.Event()
        self._watchers: list[PrefixWatcher] = []
        self._watcher_tasks: list[asyncio.Task[None]] = []

    def _make_dependencies(self) -> SchedulerDependencies:
        settings = self._settings
        advice_client = self._advice_client if settings.advice_address else None
        return SchedulerDependencies(
            store=self._store,
            orders=self._orders,
            directory=self._registry,
            advice=PlatformAdvice(client=advice_client),
            machine_records=self._machine_records,
            clock=boot_time_s,
            wall_clock=time.time,
            times=OrderTimes.within(settings.bounds.longest_lease_s),
            log=self._log,
            metrics=self._metrics,
            final_state_told_s=settings.bounds.final_state_told_s,
            team_of=self._team_of,
            is_capacity_known=self._is_capacity_known,
            may_be_given_up=self._roster.may_be_given_up,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, or until a background task ends."""
        settings = self._settings
        self._log.line(
            "start", data_centre=settings.data_centre, callers_address=settings.callers_address
        )
        self._handle_signals()
        operators = PrefixWatcher(
            store=self._store,
            prefix=OPERATORS_PREFIX,
            listener=self._operator_records,
            log=self._log,
            on_answer=self._note_configuration_answer,
            clock=boot_time_s,
        )
        await self._ingress.listen_for_readiness(settings.ready_address)
        await self._ingress.listen(settings.callers_address)
        await self._ingress.listen_for_metrics(f"{settings.ip}:{METRICS_PORT}", self._metrics_text)
        tasks = [
            asyncio.create_task(task)
            for task in (
                self._log.run(),
                operators.run(),
                self._elector.run(),
                self._roster.run(),
                self._load.run(),
            )
        ]
        stopped = asyncio.create_task(self._stop.wait())
        await asyncio.wait([*tasks, stopped], return_when=asyncio.FIRST_COMPLETED)
        await self._shut_down()
        for task in (*tasks, *self._watcher_tasks, stopped):
            task.cancel()
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                self._log.line("fault", reason=repr(task.exception()))
        self._log.line("stop")
        self._log.flush()

    async def _shut_down(self) -> None:
        """Release all leases, serve callers until they use other instances, then close."""
        self._ingress.is_stopping = True
        serve_for_s = min(
            SHUTDOWN_SERVE_S, self._settings.bounds.stop_grace_s * SHUTDOWN_SERVE_RATIO
        )
        self._log.line("stopping", serve_for_s=serve_for_s)
        started_s = asyncio.get_running_loop().time()
        await self._log_timeout(self._elector.stop())
        elapsed_s = asyncio.get_running_loop().time() - started_s
        await asyncio.sleep(max(0.0, serve_for_s - elapsed_s))
        elapsed_s = asyncio.get_running_loop().time() - started_s
        drain_until_s = self._settings.bounds.stop_grace_s * SHUTDOWN_DRAIN_RATIO
        await self._ingress.drain(max(0.0, drain_until_s - elapsed_s))
        await self._log_timeout(self._ingress.close())
        await self._orders.close()
        await close_all([self._store_client, self._machines_client, self._advice_client])

    async def _log_timeout(self, awaitable: Awaitable[None]) -> None:
        try:
            await awaitable
        except TimeoutError as error:
            self._log.line("stop-late", reason=repr(error))

    async def _run_epoch(self, lease_key: str, lease: HeldLease) -> None:
        self._start_watchers()
        if lease_key == MACHINE_CONTROLLER_KEY:
            await self._run_machine_controller(lease)
            return
        service = lease_key.removeprefix(SCHEDULER_KEY_PREFIX)
        scheduler = ServiceScheduler(service=service, lease=lease, dependencies=self._dependencies)
        self._schedulers[lease_key] = scheduler
        try:
            await scheduler.run()
        finally:
            del self._schedulers[lease_key]

    def _is_movable(self, lease_key: str) -> bool:
        """Whether an epoch here may end for an instance that is no stronger but less busy."""
        scheduler = self._schedulers.get(lease_key)
        return self._load.is_saturated or (scheduler is not None and scheduler.is_calm)

    async def _prepare_epoch(self) -> None:
        """Read workers and machines, so that a successor has only its jobs left to read."""
        self._start_watchers()
        for watcher in self._watchers:
            await watcher.synced.wait()

    def _start_watchers(self) -> None:
        """Watch workers and machines from the first lease on; serving callers needs neither."""
        if self._watcher_tasks:
            return
        workers = PrefixWatcher(
            store=self._store,
            prefix=REGISTRY_PREFIX,
            listener=self._registry,
            log=self._log,
            on_answer=self._note_workers_answer,
            pause_s=REGISTRY_WATCH_PAUSE_S,
        )
        machines = PrefixWatcher(
            store=self._store,
            prefix=MACHINES_PREFIX,
            listener=self._machine_records,
            log=self._log,
            pause_s=MACHINES_WATCH_PAUSE_S,
        )
        self._watchers = [workers, machines]
        self._watcher_tasks = [
            asyncio.create_task(awaitable)
            for awaitable in (workers.run(), machines.run(), self._mark_registry_synced(workers))
        ]

    async def _mark_registry_synced(self, workers: PrefixWatcher) -> None:
        await workers.synced.wait()
        self._registry.is_synced = True

    async def _run_machine_controller(self, lease: HeldLease) -> None:
        dependencies = MachineControllerDependencies(
            machines=PlatformMachines(
                client=self._machines_client,
                instance=self._settings.instance,
                born_ms_of=self._registry.born_ms_of,
            ),
            maintenance_schedule=self._operator_records,
            machine_records=self._machine_records,
            standby=self._standby,
            store=self._store,
            clock=boot_time_s,
            wall_clock=time.time,
            log=self._log,
            turns_apart_s=self._settings.bounds.turns_apart_s,
            metrics=self._metrics,
        )
        await MachineController(lease=lease, dependencies=dependencies).run()

    def _note_configuration_answer(self, sent_s: float) -> None:
        self._configuration_proof.note_reading(
            sent_s, is_readable=self._operator_records.is_configuration_readable
        )

    def _note_workers_answer(self, _sent_s: float) -> None:
        self._workers_answered_s = boot_time_s()

    def _is_capacity_known(self, service: str) -> bool:
        """Whether workers' entries were read recently, or workers enforce their own capacity."""
        configuration = self._operator_records.configuration
        is_guarded = configuration is not None and service in configuration.guarded
        return is_guarded or boot_time_s() - self._workers_answered_s < MAX_WORKER_LIST_AGE_S

    def _team_of(self, name: str) -> Team | None:
        configuration = self._operator_records.configuration
        return configuration.teams.get(name) if configuration is not None else None

    def _standby(self) -> frozenset[str]:
        configuration = self._operator_records.configuration
        return configuration.standby if configuration is not None else frozenset()

    def _on_configuration(self, configuration: Configuration) -> None:
        self._roster.configure(configuration.services)

    def _bid_for_services(self) -> None:
        schedulers = {SCHEDULER_KEY_PREFIX + service for service in self._roster.services}
        self._elector.set_services(schedulers | {MACHINE_CONTROLLER_KEY})

    def _metrics_text(self) -> str:
        return to_exposition(summarise(self._metrics.freeze(), process=self._settings.instance))

    # ---- signals

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        """Read the settings again and log whether they differ; this process keeps its own."""
        loaded = load_platform_settings(self._path)
        if not isinstance(loaded, Success):
            self._log.line("reload", outcome="kept", reason=str(loaded.failure()))
            return
        is_changed = loaded.unwrap() != self._settings
        self._log.line("reload", outcome="read", is_changed=is_changed)


def _strength_of(settings: PlatformSettings) -> float:
    """Return an instance's capacity to run a scheduler, 0 to 1, by its scarcest resource."""
    return min(
        1.0, settings.cores / MIN_SCHEDULER_CORES, settings.link_mbps / MIN_SCHEDULER_LINK_MBPS
    )


def _marker_key_of(lease_key: str) -> str:
    """Return the marker key of a lease; see `HeldLease`.

    The key lies among the records that the lease's holder changes.
    """
    if lease_key == MACHINE_CONTROLLER_KEY:
        return f"{MACHINES_PREFIX}!{lease_key}"
    return JobKeys(service=lease_key.removeprefix(SCHEDULER_KEY_PREFIX)).marker_key
