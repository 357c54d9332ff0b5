"""A small deployment: store, workers, three entry processes and one client."""

from __future__ import annotations

import asyncio
import itertools
import json
import math
import os
import pathlib
import random
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from .advice import Advice
from .processes import EntryProcess
from .record import Record
from .store import Store
from .workers import Fleet, Start, Task

__all__ = ["Bed", "CaseNotRunError", "Route", "run_case"]

HOST = "pule25.example"
DEADLINE_MS = 3000
METRICS_PORT = 9464
BROKEN, HELD, NOT_RUN = 1, 0, 2
CASE_TIMEOUT_S = 110.0


class Route(dict[str, Any]):
    """One route of a configuration."""

    def __init__(self, *, name: str, prefix: str, service: str, **fields: Any) -> None:
        super().__init__(
            {
                "name": name,
                "host": HOST,
                "prefix": prefix,
                "kind": "non_idempotent",
                "service": service,
                "timeoutMs": 3000,
                "priority": 0,
                "maxAttempts": 2,
                "stretch": 2.0,
                "targetLatencyMs": 600,
            }
            | fields
        )


class Bed:
    """The deployment.

    Args:
        record: Receives what was sent, answered and run.
        folder: Folder for the settings and logs of the processes.
        task_of: Returns how a task behaves, by its name.
    """

    def __init__(
        self, *, record: Record, folder: pathlib.Path, task_of: Callable[[str], Task]
    ) -> None:
        self.record = record
        self._subnet = _free_subnet()
        self._folder = folder
        self.store = Store()
        self.fleet = Fleet(
            store=self.store, record=record, host=f"{self._subnet}.1", task_of=task_of
        )
        self.advice: Advice | None = None
        """The advice service, if `start` is to start it."""
        self.tenants: list[dict[str, Any]] = []
        """Tenants of the configuration; if there are any, each call needs a key."""
        self.entries: list[EntryProcess] = []
        self._session: aiohttp.ClientSession | None = None

    async def start(self, *, pools: dict[str, int], routes: list[Route], entries: int = 3) -> None:
        """Start everything; return once each entry process is ready."""
        await self.store.start()
        await self.fleet.start(pools)
        if self.advice is not None:
            self.fleet.advice = self.advice
            await self.advice.start(f"{self._subnet}.1")
        self.configure(11, pools, routes)
        for number in range(entries):
            name = f"edge-hall-1-{number + 1}"
            entry = EntryProcess(
                name=name,
                ip=f"{self._subnet}.{10 + number}",
                folder=self._folder,
                store=await self.store.listen(f"{self._subnet}.1", name),
                machines=self.fleet.address,
                advice=self.advice.address if self.advice is not None else "",
                has_tenants=bool(self.tenants),
            )
            self.entries.append(entry)
            await entry.start()
        for entry in self.entries:
            if not await entry.wait_until_ready():
                raise CaseNotRunError(f"{entry.name} was not ready in time")
        self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        self.record.line("ready", entries=entries)

    async def stop(self) -> None:
        """Stop everything."""
        for entry in self.entries:
            await entry.stop()
        if self._session is not None:
            await self._session.close()
        await self.fleet.stop()
        if self.advice is not None:
            await self.advice.stop()
        await self.store.stop()

    def configure(self, version: int, pools: dict[str, int], routes: list[Route]) -> float:
        """Write a configuration as the operator; return when the store acknowledged it."""
        services = [{"name": pool, "admissionControl": True} for pool in pools]
        body: dict[str, Any] = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {},
        }
        if self.tenants:
            body["tenants"] = self.tenants
        self.store.put("op/config", body)
        self.record.line(
            "config",
            version=version,
            routes=[f"{row['prefix']}->{row['service']}" for row in routes],
        )
        return self.record.now_s()

    def twice(self) -> list[str]:
        """Return what breaks TWICE: two runs of a task at once, or a start after an end `done`.

        An end counts that was taken note of, unless the worker's lease lapsed between the two.
        """
        ends = {(start.task, start.run_id): (how, at_s) for start, how, at_s in self.fleet.ends}
        by_task: dict[str, list[Start]] = {}
        for start in self.fleet.starts:
            by_task.setdefault(start.task, []).append(start)
        broken = []
        for task, starts in by_task.items():
            for first, later in itertools.combinations(starts, 2):
                how, ended_s = ends.get((task, first.run_id), ("", math.inf))
                if later.begun_s < min(ended_s, self.fleet.lost_s.get(first, math.inf)):
                    broken.append(f"{task} runs {first.run_id} and {later.run_id} at once")
                elif how == "done" and self.fleet.is_taken_note_of(first, ended_s):
                    broken.append(f"{task} starts as {later.run_id} after {first.run_id} was done")
        for text in broken:
            self.record.line("TWICE", what=text)
        return broken

    async def submit(self, entry: int, path: str, body: object) -> float:
        """Hand a job in; return when it was accepted, in seconds of the record.

        Raises:
            CaseNotRunError: It was not accepted.
        """
        status, _ = await self.call(entry, "POST", path, body)
        if status != 200:
            raise CaseNotRunError(f"POST {path} was answered {status}")
        return self.record.now_s()

    async def call(
        self, entry: int, method: str, path: str, body: object = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request to one entry; return status and body, 0 without an answer."""
        assert self._session is not None
        name = self.entries[entry].name
        self.record.line("request", method=method, path=path, to=name)
        headers = {"Host": HOST, "Shallotworks-Deadline-Ms": str(DEADLINE_MS)}
        if self.tenants:
            headers["Authorization"] = f"Token {self.tenants[0]['apiKeys'][0]}"
        try:
            async with self._session.request(
                method,
                f"http://{self.entries[entry].front}{path}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=DEADLINE_MS / 1000),
            ) as response:
                text = await response.text()
                status = response.status
                decoded: dict[str, Any] = json.loads(text) if text else {}
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.record.line("no-answer", method=method, path=path, why=type(error).__name__)
            return 0, {}
        self.record.line(
            "answer", method=method, path=path, status=status, body=json.dumps(decoded)
        )
        return status, decoded


class CaseNotRunError(Exception):
    """The case could not run."""


def run_case(
    case_path: str,
    *,
    play: Callable[[Bed], Awaitable[bool]],
    task_of: Callable[[str], Task],
    is_troubled: bool,
) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held and 2 if the case could not run.

    Args:
        case_path: A file in the folder of the case, which receives the record.
        play: Plays the case, and returns whether the rule held.
        task_of: Returns how a task behaves, by its name.
        is_troubled: Whether the disruption takes place.
    """
    folder = pathlib.Path(case_path).resolve().parent
    record = Record(path=folder / "record.txt")
    record.line("case", trouble=int(is_troubled))
    try:
        return asyncio.run(_run(record, play, task_of))
    finally:
        record.close()


async def _run(
    record: Record, play: Callable[[Bed], Awaitable[bool]], task_of: Callable[[str], Task]
) -> int:
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        bed = Bed(record=record, folder=pathlib.Path(folder), task_of=task_of)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                is_held = await play(bed)
        except Exception as error:  # Whatever the cause, no verdict follows from it.
            record.line("not-run", why=repr(error))
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            await bed.stop()
            _keep_logs(pathlib.Path(folder))
    record.line("verdict", rule="held" if is_held else "broken")
    return HELD if is_held else BROKEN


def _keep_logs(folder: pathlib.Path) -> None:
    """Copy the logs of the processes where the environment asks for it."""
    target = os.environ.get("KEEP_LOGS")
    if target:
        for path in folder.glob("*.log"):
            (pathlib.Path(target) / path.name).write_bytes(path.read_bytes())


def _free_subnet() -> str:
    """Return the first three numbers of loopback addresses that nothing listens on."""
    for _ in range(50):
        subnet = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{subnet}.10", METRICS_PORT))
            except OSError:
                continue
        return subnet
    raise CaseNotRunError("no free loopback addresses")
