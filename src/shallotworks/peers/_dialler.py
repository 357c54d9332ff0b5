"""Dials known members that have no connection, and addresses that no known member has."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from random import Random

from shallotworks.protocol import NO_RELAY_SLOT, MemberRecord

from ._links import Links
from ._members import MemberTable
from ._settings import PeerTiming

__all__ = ["Dialler"]

MAX_CONCURRENT_EXPLORATIONS = 4
"""Dials of unknown addresses at once while no member of this data centre is connected."""
EXPLORE_BACKOFF_CAP_S = 8.0
LARGER_NAME_DIAL_DELAY_S = 0.3
"""Delay before the first dial of a member whose name sorts before this process's name.

The member whose name sorts first dials at once, so two members seldom dial each other together.
"""
BACKOFF_RESET_AFTER_S = 5.0
"""Shortest duration of a connection that resets the redial backoff."""
MAX_BACKOFF_DOUBLINGS = 8
RELAY_QUERY_BASE_WAIT_S = 1.0
RELAY_QUERY_WAIT_CAP_S = 60.0
"""Wait between two queries to a data centre for its relays; it doubles from the base to the cap."""


@dataclass(slots=True, kw_only=True)
class _RelayQuery:
    due_at_s: float = 0.0
    wait_s: float = RELAY_QUERY_BASE_WAIT_S


class Dialler:
    """Runs one redial task with backoff for each member that should be connected and is not.

    Args:
        table: The known members.
        links: The open connections.
        dial: Dials an address; returns the task that serves the connection, or ``None`` if it
            could not be opened.
        seeds: Addresses from the settings.
        timing: Intervals and backoff bounds.
        random: Draws the waits and the addresses to explore.
    """

    __slots__ = (
        "_candidates",
        "_dial",
        "_explore_at_s",
        "_explored_until_s",
        "_exploring",
        "_failures",
        "_links",
        "_random",
        "_relay_queries",
        "_seeds",
        "_table",
        "_tasks",
        "_timing",
    )

    def __init__(
        self,
        *,
        table: MemberTable,
        links: Links,
        dial: Callable[[str], Awaitable[asyncio.Task[None] | None]],
        seeds: tuple[str, ...],
        timing: PeerTiming,
        random: Random,
    ) -> None:
        self._table = table
        self._links = links
        self._dial = dial
        self._seeds = seeds
        self._timing = timing
        self._random = random
        self._candidates: tuple[str, ...] = ()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._exploring: dict[str, asyncio.Task[None]] = {}
        self._explored_until_s: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._relay_queries: dict[str, _RelayQuery] = {}
        self._explore_at_s = float("-inf")

    def set_candidates(self, addresses: tuple[str, ...]) -> None:
        """Replace the addresses from the platform's list of instances."""
        self._candidates = addresses
        known = {*addresses, *self._seeds}
        for by_address in (self._explored_until_s, self._failures):
            for address in set(by_address) - known:
                del by_address[address]

    def is_wanted(self, record: MemberRecord) -> bool:
        """Return whether this process should keep a connection to a peer.

        The members of one data centre form a full mesh; two data centres are connected only through
        their relays of the same slot.
        """
        own = self._table.own
        if record.data_centre == own.data_centre:
            return True
        return own.relay_slot != NO_RELAY_SLOT and own.relay_slot == record.relay_slot

    def has_dialled_all_unknown(self) -> bool:
        """Return whether each address that no known member has was dialled at least once."""
        return all(address in self._explored_until_s for address in self._unknown_addresses())

    def reconcile(self) -> None:
        """Start and cancel redial tasks to match the known members and the open connections."""
        wanted = {record.name for record in self._table.records() if self._needs_link(record)}
        for name in [name for name in self._tasks if name not in wanted]:
            if self._links.get(name) is None:
                self._tasks.pop(name).cancel()
        for name in wanted - set(self._tasks):
            task = asyncio.create_task(self._redial_until_linked(name))
            self._tasks[name] = task
            task.add_done_callback(partial(self._end_task, name))
        self._query_relays()
        self._explore()

    async def stop(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = [*self._tasks.values(), *self._exploring.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _needs_link(self, record: MemberRecord) -> bool:
        if not self.is_wanted(record) or self._links.get(record.name) is not None:
            return False
        same_data_centre = record.data_centre == self._table.own.data_centre
        return same_data_centre or record.data_centre not in self._linked_data_centres()

    def _linked_data_centres(self) -> set[str]:
        """Return the data centres connected through a peer with this process's relay slot."""
        slot = self._table.own.relay_slot
        return {link.peer.data_centre for link in self._links if link.peer.relay_slot == slot}

    async def _redial_until_linked(self, name: str) -> None:
        failures = 0
        if name < self._table.own.name:
            await asyncio.sleep(LARGER_NAME_DIAL_DELAY_S)
        while True:
            record = self._table.get(name)
            if record is None or not self._needs_link(record):
                return
            started_s = _now_s()
            serving = await self._dial(record.address)
            if serving is not None:
                await serving
            failures = 0 if _now_s() - started_s >= BACKOFF_RESET_AFTER_S else failures + 1
            wait_s = self._backoff_s(failures, cap_s=self._timing.backoff_cap_s)
            await asyncio.sleep(wait_s)

    def _backoff_s(self, failures: int, *, cap_s: float) -> float:
        """Return a wait with full jitter.

        Processes that lost the same peer at the same time then spread their redials.
        """
        doubled_s = self._timing.backoff_base_s * 2.0 ** min(failures, MAX_BACKOFF_DOUBLINGS)
        return self._random.uniform(0.0, min(doubled_s, cap_s))

    def _query_relays(self) -> None:
        """Dial any member of each data centre that is not connected, to learn its relays.

        The relays known for a data centre may have been replaced while it was partitioned, or none
        was chosen yet when its members were first seen. Any member reports the relays in its first
        heartbeat; that connection is then closed as unwanted and the relay is dialled.
        """
        own = self._table.own
        if own.relay_slot == NO_RELAY_SLOT:
            return
        unlinked = {record.data_centre for record in self._table.records()}
        unlinked -= {own.data_centre, *self._linked_data_centres()}
        for data_centre in set(self._relay_queries) - unlinked:
            del self._relay_queries[data_centre]
        for data_centre in sorted(unlinked):
            query = self._relay_queries.setdefault(data_centre, _RelayQuery())
            if query.due_at_s <= _now_s():
                query.due_at_s = _now_s() + self._random.uniform(0.5, 1.0) * query.wait_s
                query.wait_s = min(2 * query.wait_s, RELAY_QUERY_WAIT_CAP_S)
                self._explore_member(data_centre)

    def _explore_member(self, data_centre: str) -> None:
        addresses = sorted(
            record.address
            for record in self._table.records()
            if record.data_centre == data_centre and self._links.get(record.name) is None
        )
        if addresses:
            self._start_exploring(self._random.choice(addresses))

    def _start_exploring(self, address: str) -> None:
        if address in self._exploring:
            return
        task = asyncio.create_task(self._explore_one(address))
        self._exploring[address] = task
        task.add_done_callback(partial(self._end_exploring, address))

    def _end_task(self, name: str, task: asyncio.Task[None]) -> None:
        if self._tasks.get(name) is task:
            del self._tasks[name]

    def _end_exploring(self, address: str, _task: asyncio.Task[None]) -> None:
        self._exploring.pop(address, None)

    def _explore(self) -> None:
        """Dial addresses that no known member has.

        A process without a connection in its data centre dials several at once. Otherwise it dials
        one per `PeerTiming.explore_interval_s`, which finds a group of members of the data centre
        that does not know this process's group.
        """
        now_s = _now_s()
        isolated = not any(link.same_data_centre for link in self._links)
        free_slots = (
            MAX_CONCURRENT_EXPLORATIONS - len(self._exploring)
            if isolated
            else 1 - len(self._exploring)
        )
        if free_slots <= 0 or (not isolated and now_s < self._explore_at_s):
            return
        due = [
            address
            for address in self._unknown_addresses()
            if self._explored_until_s.get(address, now_s) <= now_s
            and address not in self._exploring
        ]
        for address in self._random.sample(due, min(free_slots, len(due))):
            self._explore_at_s = now_s + self._timing.explore_interval_s
            self._start_exploring(address)

    async def _explore_one(self, address: str) -> None:
        if await self._dial(address) is not None:
            self._failures.pop(address, None)
            self._explored_until_s[address] = _now_s() + self._timing.explored_for_s
            return
        failures = self._failures.get(address, 0) + 1
        self._failures[address] = failures
        wait_s = self._backoff_s(failures, cap_s=EXPLORE_BACKOFF_CAP_S)
        self._explored_until_s[address] = _now_s() + wait_s

    def _unknown_addresses(self) -> list[str]:
        known = {record.address for record in self._table.records()}
        known.add(self._table.own.address)
        return sorted({*self._seeds, *self._candidates} - known)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
