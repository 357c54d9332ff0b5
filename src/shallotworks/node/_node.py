"""One entry instance: its components, ports, start and stop."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from absl import logging
from returns.result import Success

from shallotworks.callers import CallersApplication
from shallotworks.config import ConfigStore, Entry
from shallotworks.errors import ErrorKind, Failure, ShallotworksError
from shallotworks.fleet import Condition, SetCondition
from shallotworks.kv import HttpInstanceList, HttpKeyValueStore, LeaseCandidate
from shallotworks.listener import Listener
from shallotworks.metrics import Metrics
from shallotworks.operators import OperatorsServer
from shallotworks.peers import MemberState, PeerNetwork, PeerSettings, rank_among
from shallotworks.plans import Conductor, ConductorDependencies, Planner, PlanRegistry
from shallotworks.protocol import MemberRecord, load_keys
from shallotworks.requests import (
    BudgetedRetryPolicy,
    HttpTargetClient,
    PoolDispatcher,
    Relay,
    StoreIdempotencyGuard,
)
from shallotworks.settings import Settings
from shallotworks.timeline import EventKind, Subject, Timeline
from shallotworks.workers import HttpTargetControl

from . import _limits
from ._acknowledgements import PeerAcknowledgements
from ._backend import BackendDependencies, NodeBackend
from ._instance_list_watcher import InstanceListWatcher
from ._plan_lease import StorePlanLease

__all__ = ["Node"]

CONFIG_LOAD_RETRY_S = 0.5
"""Pause between two attempts to load the first configuration."""
PEER_CONFIG_WAIT_S = 1.0
"""Time at the start to receive the configuration from peers before the store is read."""
STALE_CONFIG_AGE_S = 15.0
"""Age of the configuration above which this process reads the list of instances itself."""
IN_FLIGHT_POLL_S = 0.05
FLUSH_RECORDS_TIMEOUT_S = 3.0
"""Time that a stop spends on writing records of answers that a slow store has not taken yet."""
PRUNE_PROPOSALS_EVERY_S = 6 * 3_600.0
STOP_NOTICE_S = 1.0
"""Time for which a stopping instance answers 503, not run, and asks to close the connection."""


class Node:
    """One entry instance; created, started and stopped on the event loop that it runs on.

    Args:
        settings: Validated settings.

    Raises:
        ShallotworksError: ``INVALID_SETTINGS`` if a key or token can't be read.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(secrets.randbits(128))
        own = settings.instance
        self.metrics = Metrics()
        self.timeline = Timeline(
            process=own.name, wall_clock_s=time.time, capacity=settings.timeline.capacity
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self._held_leases: set[str] = set()
        self._build_platform()
        self._build_peers()
        self._process = _process_name(self.peers.own_record)
        self._build_requests()
        self._build_plans()
        self._build_operators()

    @property
    def callers_port(self) -> int:
        """The callers' port."""
        return self._callers.port

    @property
    def operators_port(self) -> int:
        """The operators' port."""
        return self._operators.port

    async def start(self) -> None:
        """Open the ports; the callers' port only after a configuration is loaded.

        Without a configuration every request would be answered with "no such service", which is
        final and would be false.

        Raises:
            ShallotworksError: ``INVALID_SETTINGS`` if a port can't be bound.
        """
        await asyncio.to_thread(self._operators.start)
        await self._start_peers()
        await self._load_configuration()
        self._spawn(self.config.run_watch(should_watch=self.peers.should_watch))
        self._spawn(self._idempotency_guard.run())
        self._spawn(self._conductor.run())
        self._spawn(self._instance_list_watcher.run())
        self._spawn(self._prune_proposals())
        await asyncio.to_thread(self._callers.start)
        self._record_event(EventKind.STARTED, f"callers at port {self.callers_port}")
        logging.info("%s serves callers at port %d", self._process, self.callers_port)

    async def stop(self) -> None:
        """Stop gracefully: refuse new requests, answer those in flight and release leases."""
        self._stopping = True
        self._record_event(EventKind.STOPPING, "")
        self.relay.stop_admitting()
        self._dispatcher.stop_admitting()
        self._dispatcher.refuse_waiting()
        # Callers with persistent connections and the load balancer need time to see that this
        # instance stops; closing a connection right after a request was sent on it would leave the
        # outcome of that request unknown.
        await asyncio.sleep(STOP_NOTICE_S)
        await self._wait_until_idle()
        await asyncio.to_thread(self._callers.stop)
        await self.relay.flush_records(timeout_s=FLUSH_RECORDS_TIMEOUT_S)
        await asyncio.to_thread(self._operators.stop)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.peers.stop()
        await self.config.close()
        self._target_client.close()
        await asyncio.to_thread(self._control.close)
        self._store.close()
        self._instances.close()
        logging.info("%s has stopped", self._process)

    def _build_platform(self) -> None:
        limits = _limits.platform_limits(self._settings)
        self._store = HttpKeyValueStore(
            address=self._settings.platform.address,
            metrics=self.metrics,
            timeline=self.timeline,
            limits=limits,
            rng=self._rng,
        )
        self._instances = HttpInstanceList(
            address=self._settings.platform.instance_list_address,
            metrics=self.metrics,
            timeline=self.timeline,
            limits=limits,
            rng=self._rng,
        )
        self.config = ConfigStore(
            store=self._store,
            metrics=self.metrics,
            timeline=self.timeline,
            wall_clock_s=time.time,
            rng=random.Random(secrets.randbits(128)),
        )
        self.config.subscribe(self._record_condition_change)

    def _build_peers(self) -> None:
        own, peers = self._settings.instance, self._settings.peers
        keys = load_keys(Path(peers.key_file))
        if not isinstance(keys, Success):
            raise ShallotworksError(keys.failure())
        self.peers = PeerNetwork(
            settings=PeerSettings(
                name=own.name,
                address=f"{peers.host}:{peers.port}",
                data_centre=own.data_centre,
                region=own.region,
                keys=keys.unwrap(),
                seeds=peers.seeds,
                timing=_limits.peer_timing(self._settings),
            ),
            replica=self.config,
            metrics=self.metrics,
            timeline=self.timeline,
            random=self._rng,
            wall_clock_s=time.time,
        )
        self.config.connect_peers(self.peers)

    def _build_requests(self) -> None:
        self._dispatcher = PoolDispatcher(
            config=self.config,
            data_centre=self._settings.instance.data_centre,
            entry_count=lambda: max(1, len(self.peers.live_entries())),
            entry_rank=self._entry_rank,
            limits=_limits.dispatch_limits(self._settings),
            metrics=self.metrics,
            timeline=self.timeline,
            rng=self._rng,
        )
        self._idempotency_guard = StoreIdempotencyGuard(
            store=self._store,
            process=self._process,
            is_live=self._is_live,
            new_id=lambda: secrets.token_hex(12),
            limits=_limits.idempotency_limits(self._settings),
            metrics=self.metrics,
        )
        self._target_client = HttpTargetClient(limits=_limits.target_client_limits(self._settings))
        self.relay = Relay(
            loop=self._loop,
            dispatcher=self._dispatcher,
            retry_policy=BudgetedRetryPolicy(
                limits=_limits.retry_limits(self._settings),
                metrics=self.metrics,
                rng=self._rng,
            ),
            idempotency_guard=self._idempotency_guard,
            target_client=self._target_client,
            metrics=self.metrics,
            timeline=self.timeline,
            max_long_running_requests=_limits.max_long_running_requests(self._settings),
        )
        caller_limits = _limits.request_limits(self._settings)
        callers = self._settings.callers
        self._callers = Listener(
            host=callers.host,
            port=callers.port,
            application=CallersApplication(loop=self._loop, relay=self.relay, limits=caller_limits),
            threads=callers.threads,
            body_limit_bytes=2 * callers.body_limit_bytes,
            receive_timeout_s=callers.header_timeout_s,
            stop_timeout_s=self._settings.log.stop_timeout_s,
        )
        self._instance_list_watcher = InstanceListWatcher(
            data_centre=self._settings.instance.data_centre,
            instances=self._instances,
            view=self.config,
            log=self.config,
            dispatcher=self._dispatcher,
            reader_count=lambda: 1 if self.peers.should_watch() else len(self.peers.live_entries()),
            should_read=lambda: self.peers.should_watch()
            or self.config.staleness_s() > STALE_CONFIG_AGE_S,
            metrics=self.metrics,
            author=self._process,
        )

    def _build_plans(self) -> None:
        self._control = HttpTargetControl()
        self._plan_registry = PlanRegistry(
            view=self.config,
            log=self.config,
            store=self._store,
            planner=Planner(
                weights=_limits.planner_weights(self._settings),
                model=_limits.disruption_model(self._settings),
            ),
            wall_clock_s=time.time,
            timeline=self.timeline,
            metrics=self.metrics,
        )
        self._conductor = Conductor(
            name=self._process,
            plan_leases=self._make_plan_lease,
            log=self.config,
            store=self._store,
            dependencies=ConductorDependencies(
                view=self.config,
                control=self._control,
                acknowledgements=PeerAcknowledgements(replica=self.config, peers=self.peers),
                policy=_limits.conductor_policy(self._settings),
                wall_clock_s=time.time,
                timeline=self.timeline,
                metrics=self.metrics,
            ),
        )

    def _build_operators(self) -> None:
        dependencies = BackendDependencies(
            settings=self._settings,
            config=self.config,
            peers=self.peers,
            plan_registry=self._plan_registry,
            dispatcher=self._dispatcher,
            metrics=self.metrics,
            is_store_up=lambda: self._store.is_up,
            is_stopping=lambda: self._stopping,
            held_leases=lambda: tuple(sorted(self._held_leases)),
            started_at_s=self._loop.time(),
        )
        self._operators = OperatorsServer(
            settings=self._settings.operators,
            process=self._settings.instance.name,
            loop=self._loop,
            backend=NodeBackend(dependencies=dependencies),
            timeline=self.timeline,
            metrics=self.metrics,
        )

    async def _start_peers(self) -> None:
        try:
            await self.peers.start()
        except OSError as error:
            raise _cannot_listen(self._settings, error) from error

    async def _load_configuration(self) -> None:
        """Wait for the peers' configuration, then read the store; retry until one provides it."""
        if self._settings.peers.seeds:
            await asyncio.sleep(PEER_CONFIG_WAIT_S)
        while True:
            loaded = await self.config.load()
            if isinstance(loaded, Success) or self.config.revision() > 0:
                return
            await asyncio.sleep(CONFIG_LOAD_RETRY_S)

    async def _wait_until_idle(self) -> None:
        ends_at_s = self._loop.time() + self._settings.log.stop_timeout_s
        while self._dispatcher.in_flight and self._loop.time() < ends_at_s:
            await asyncio.sleep(IN_FLIGHT_POLL_S)

    async def _prune_proposals(self) -> None:
        """Delete old proposals periodically, only on processes that watch the store."""
        while True:
            await asyncio.sleep(PRUNE_PROPOSALS_EVERY_S * self._rng.uniform(0.5, 1.0))
            if self.peers.should_watch():
                await self._plan_registry.prune()

    def _make_plan_lease(self, digest: str) -> StorePlanLease:
        candidate = LeaseCandidate(
            store=self._store,
            lease_name=f"plan/{digest}",
            holder=self._process,
            metrics=self.metrics,
            timeline=self.timeline,
            rng=self._rng,
            ttl_s=self._settings.plans.lease_ttl_s,
        )
        return StorePlanLease(
            candidate=candidate,
            is_eligible=self.peers.should_watch,
            pause_factor=lambda: self._pause_factor(digest),
            held_names=self._held_leases,
        )

    def _entry_rank(self) -> int:
        """Return the rank of this process by name, for the slots that don't divide evenly."""
        names = sorted(entry.record.name for entry in self.peers.live_entries())
        own = self._settings.instance.name
        return names.index(own) if own in names else 0

    def _record_condition_change(self, entry: Entry) -> None:
        """Record that this process stops or resumes sending requests to instances."""
        change = entry.change
        if not isinstance(change, SetCondition):
            return
        kind = EventKind.TARGET_RETURNED
        if change.condition is Condition.CORDONED:
            kind = EventKind.TARGET_CORDONED
        for name in change.names:
            subject = Subject(instance=name, plan=change.plan)
            self.timeline.record(kind, subject=subject, detail=f"revision {entry.revision}")

    def _pause_factor(self, digest: str) -> float:
        """Return the factor on the pauses between attempts to acquire a plan's lease.

        It is 1 plus the rank of this data centre for the plan. If the watchers of 22 data centres
        all used the same pause, each open plan would cost the store 14 reads per second; ranked,
        they cost as much as about eight candidates.
        """
        data_centres = self.config.state().data_centres
        own = self._settings.instance.data_centre
        return 1.0 + rank_among(data_centres, own, lease_name=f"plan/{digest}")

    def _is_live(self, process: str) -> bool:
        """Return whether a process is known to run; an unknown process may run, too."""
        members = self.peers.members()
        known = (entry.record for entry in members if entry.state is not MemberState.GONE)
        return process == self._process or process in map(_process_name, known)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(_log_failure)
        self._tasks.append(task)

    def _record_event(self, kind: EventKind, detail: str) -> None:
        self.timeline.record(kind, subject=Subject(), detail=detail)


def _process_name(record: MemberRecord) -> str:
    """Return a process name that is different after each start."""
    return f"{record.name}#{record.incarnation:x}"


def _cannot_listen(settings: Settings, error: OSError) -> ShallotworksError:
    address = f"{settings.peers.host}:{settings.peers.port}"
    failure = Failure(kind=ErrorKind.INVALID_SETTINGS, reason=f"can't listen at {address}: {error}")
    return ShallotworksError(failure)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logging.error("background task of the instance failed: %r", task.exception())
