"""The service at `advice`, which knows the workers that a queue's policy allows.

It follows `POST /v1/advise` of PROTOCOL.md: one call at a time for each calling machine, and 429
while 32 calls wait.
"""

from __future__ import annotations

import asyncio
import json
import secrets
from collections import defaultdict

from aiohttp import web

from .record import Record

__all__ = ["Advice"]

MAX_WAITING = 32


class Advice:
    """The advice service.

    Args:
        record: Receives each call.
        decision_ms: Time for each call.
        period_ms: Time for each worker that a call names.
        valid_ms: How long a ticket is valid.
    """

    def __init__(self, *, record: Record, decision_ms: int, period_ms: int, valid_ms: int) -> None:
        self.address = ""
        self.allowed: set[str] = set()
        """Ids of the workers that may run the steps of the queue."""
        self._record = record
        self._decision_ms = decision_ms
        self._period_ms = period_ms
        self._valid_ms = valid_ms
        self._tickets: dict[str, tuple[str, str, float]] = {}
        self._locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._waiting: defaultdict[str, int] = defaultdict(int)
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)

    async def start(self, host: str) -> None:
        """Listen on a free port of a host."""
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        self.address = "{}:{}".format(*self._runner.addresses[0][:2])

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    def is_valid(self, ticket: str, task: str, worker_id: str) -> bool:
        """Whether a ticket allows a task to start on a worker now."""
        step, allowed_id, ends_at_s = self._tickets.get(ticket, ("", "", 0.0))
        is_in_time = asyncio.get_running_loop().time() <= ends_at_s
        return task.rpartition(".")[0] == step and allowed_id == worker_id and is_in_time

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        caller = request.remote or ""
        if self._waiting[caller] >= MAX_WAITING:
            return web.Response(status=429)
        self._waiting[caller] += 1
        async with self._locks[caller]:
            self._waiting[caller] -= 1
            workers = body["workers"]
            await asyncio.sleep((self._decision_ms + self._period_ms * len(workers)) / 1000)
        ends_at_s = asyncio.get_running_loop().time() + self._valid_ms / 1000
        rows = []
        for worker_id in workers:
            if worker_id in self.allowed:
                ticket = secrets.token_hex(8)
                self._tickets[ticket] = (body["step"], worker_id, ends_at_s)
                rows.append([worker_id, ticket])
        asked = ",".join(workers)
        self._record.line("advice", step=body["step"], asked=asked, allowed=len(rows))
        text = json.dumps({"allowed": rows, "validMs": self._valid_ms})
        return web.Response(text=text, content_type="application/json")
