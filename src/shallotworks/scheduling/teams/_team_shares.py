"""Reads the teams' records from the store, and changes this service's shares in them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from returns.result import Success

from shallotworks.errors import ErrorKind
from shallotworks.logs import StructuredLog
from shallotworks.store import (
    Commit,
    Condition,
    Conflicted,
    HeldLease,
    Item,
    PrefixWatcher,
    Store,
    Write,
)

from ._team_limits import TEAM_RECORDS_PREFIX, ShareWrite, TeamLimits

__all__ = ["TeamShares"]

REVIEW_INTERVAL_S = 0.1
MAX_WRITES_PER_COMMIT = 12
"""The store takes 32 entries in a commit; each change is a condition and a write."""


class TeamShares:
    """Keeps a service's shares of the teams' limits up to date while its lease is held.

    Args:
        limits: Decides which shares to change.
        lease: The lease, which each change requires.
        store: The store.
        clock: Seconds, counting suspended time.
        log: Receives a line for each change and each record that can't be read.
        on_change: Called after the shares have changed.
        is_prepared: Set once the workers are known on which tasks of earlier epochs may run. If a
            share was given up before, another service would use it beside these tasks.
    """

    __slots__ = (
        "_clock",
        "_is_prepared",
        "_lease",
        "_limits",
        "_log",
        "_on_change",
        "_store",
        "_wake",
        "_watcher",
    )

    def __init__(
        self,
        *,
        limits: TeamLimits,
        lease: HeldLease,
        store: Store,
        clock: Callable[[], float],
        log: StructuredLog,
        on_change: Callable[[], None],
        is_prepared: asyncio.Event,
    ) -> None:
        self._limits = limits
        self._is_prepared = is_prepared
        self._lease = lease
        self._store = store
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._wake = asyncio.Event()
        self._watcher = PrefixWatcher(
            store=store, prefix=TEAM_RECORDS_PREFIX, listener=self, log=log
        )

    def review_soon(self) -> None:
        """Review the shares now, because a task was held back by one."""
        self._wake.set()

    async def run(self) -> None:
        """Watch the records, and change shares until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watcher.run())
            tasks.create_task(self._review_repeatedly())

    async def _review_repeatedly(self) -> None:
        await self._watcher.synced.wait()
        await self._is_prepared.wait()
        self._limits.is_synced = True
        while True:
            writes = self._limits.due_writes(self._clock())
            if writes:
                await self._commit(writes[:MAX_WRITES_PER_COMMIT])
            self._wake.clear()
            try:
                async with asyncio.timeout(REVIEW_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _commit(self, writes: list[ShareWrite]) -> None:
        for write in writes:
            self._limits.note_sent(write, self._clock())
        outcome = await self._store.commit(
            Commit(
                conditions=(
                    self._lease.condition,
                    *(Condition(key=_key(write.team), revision=write.revision) for write in writes),
                ),
                writes=tuple(Write(key=_key(write.team), value=write.value) for write in writes),
            )
        )
        if not isinstance(outcome, Success):
            if outcome.failure().kind is ErrorKind.STORE_UNAVAILABLE:
                self._note_refused(writes)
            return
        committed = outcome.unwrap()
        if isinstance(committed, Conflicted):
            self._note_refused(writes)
            for item in committed.current:
                if item.key.startswith(TEAM_RECORDS_PREFIX):
                    self.on_write(item)
            return
        for write in writes:
            self._limits.apply_record(write.team, write.value, committed.revision)
            self._log.line(
                "team-share",
                team=write.team,
                granted=list(write.share.granted),
                wanted=list(write.share.wanted),
                claim=write.share.claim,
                revision=committed.revision,
                token=self._lease.token,
            )
        self._on_change()

    def _note_refused(self, writes: list[ShareWrite]) -> None:
        for write in writes:
            self._limits.note_refused(write)

    # ---- events from the watcher of the records

    def on_write(self, item: Item) -> None:
        """Take over a team's record."""
        try:
            self._limits.apply_record(
                item.key.removeprefix(TEAM_RECORDS_PREFIX), item.value, item.revision
            )
        except ValueError as error:
            self._log.line("record-unreadable", key=item.key, reason=str(error)[:200])

    def on_delete(self, key: str, revision: int) -> None:
        """Ignore a deletion; nobody deletes a team's record."""


def _key(team: str) -> str:
    return f"{TEAM_RECORDS_PREFIX}{team}"
