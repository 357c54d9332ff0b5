"""The platform's metadata store, without faults.

It follows the section "The platform's metadata store" of PROTOCOL.md: items with revisions,
conditional transactions, watches and leases. All calls come from one event loop, so that each is
atomic.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from dataclasses import dataclass
from typing import Any

from aiohttp import web

__all__ = ["Store"]

ANSWER_S = 0.004
MAX_PAGE_ITEMS = 500
EXPIRY_INTERVAL_S = 0.05


@dataclass(slots=True, kw_only=True)
class _Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def encode(self) -> dict[str, Any]:
        """Return the item as the store's answers contain it."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclass(slots=True, kw_only=True)
class _Lease:
    ttl_s: float
    ends_at_s: float


class Store:
    """The store's data, and the HTTP server in front of it."""

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}
        self._revision = 100
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._leases: dict[int, _Lease] = {}
        self._last_lease = 0
        self._changed = asyncio.Event()
        self._expiry: asyncio.Task[None] | None = None
        self._runners: list[web.ServerRunner] = []
        self.writers: dict[str, str] = {}
        """The caller that last wrote a key under a condition, by key."""

    async def start(self) -> None:
        """Start the expiry of leases."""
        self._expiry = asyncio.create_task(self._expire_repeatedly())

    async def listen(self, host: str, caller: str) -> str:
        """Listen for one caller on a free port of a host; return the address."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self._handle(request, caller)

        runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, 0).start()
        self._runners.append(runner)
        return "{}:{}".format(*runner.addresses[0][:2])

    async def stop(self) -> None:
        """Stop listening."""
        if self._expiry is not None:
            self._expiry.cancel()
        for runner in self._runners:
            await runner.cleanup()

    # ---- operators and workers, which write without a condition

    def put(self, key: str, value: object) -> int:
        """Write a value as JSON; return the revision, which acknowledges the write."""
        self._revision += 1
        self._write(key, json.dumps(value).encode(), 0)
        self._wake()
        return self._revision

    def delete(self, key: str) -> None:
        """Delete a key."""
        if key in self._items:
            self._revision += 1
            self._remove(key)
            self._wake()

    def read(self, key: str) -> Any:
        """Return the decoded value of a key; ``None`` if it does not exist."""
        item = self._items.get(key)
        return json.loads(item.value) if item is not None else None

    # ---- data

    def _write(self, key: str, value: bytes, lease: int) -> None:
        earlier = self._items.get(key)
        created = earlier.created if earlier is not None else self._revision
        item = _Item(key=key, value=value, revision=self._revision, created=created, lease=lease)
        self._items[key] = item
        self._history.append((self._revision, key, item.encode()))

    def _remove(self, key: str) -> None:
        del self._items[key]
        event = {"key": key, "revision": self._revision, "deleted": True}
        self._history.append((self._revision, key, event))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_repeatedly(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            for lease in [one for one, row in self._leases.items() if row.ends_at_s <= now_s]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, item in self._items.items() if item.lease == lease]
        if keys:
            self._revision += 1
            for key in keys:
                self._remove(key)
            self._wake()

    # ---- calls

    async def _handle(self, request: web.BaseRequest, caller: str) -> web.StreamResponse:
        await asyncio.sleep(ANSWER_S)
        path, query = request.path, request.query
        if path == "/v1/kv-key":
            item = self._items.get(query["key"])
            return _answer({}, 404) if item is None else self._answer(item.encode())
        if path == "/v1/kv-range":
            return self._read_range(query["prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            wait_s = int(query["waitMs"]) / 1000
            return await self._watch(query["prefix"], int(query["after"]), wait_s)
        if path == "/v1/kv-txn":
            return self._apply(await request.json(), caller)
        if path == "/v1/kv-lease":
            return self._grant((await request.json())["ttlMs"])
        name, _, number = path.rpartition("/")
        if name == "/v1/kv-keep":
            return self._keep(int(number))
        if name == "/v1/kv-lease-end":
            self._end_lease(int(number))
            return _answer({})
        return _answer({}, 400)

    def _answer(self, body: dict[str, Any]) -> web.Response:
        return _answer(body | {"atRev": self._revision})

    def _read_range(self, prefix: str, after: str) -> web.Response:
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        items = [self._items[key].encode() for key in keys[:MAX_PAGE_ITEMS]]
        return self._answer({"items": items, "hasMore": len(keys) > MAX_PAGE_ITEMS})

    async def _watch(self, prefix: str, after: int, wait_s: float) -> web.Response:
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + wait_s
        while True:
            events = [
                event
                for revision, key, event in self._history
                if revision > after and key.startswith(prefix)
            ]
            if events or loop.time() >= ends_at_s:
                return self._answer({"events": events})
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at_s):
                    await changed.wait()

    def _apply(self, body: dict[str, Any], caller: str) -> web.Response:
        expected = body.get("expected", [])
        found = [(row["revision"], self._items.get(row["key"])) for row in expected]
        if any(revision != (item.revision if item else 0) for revision, item in found):
            items = [item.encode() for _, item in found if item is not None]
            return _answer({"items": items}, 412)
        puts = body.get("puts", [])
        if any(row.get("lease") and row["lease"] not in self._leases for row in puts):
            return _answer({}, 404)
        self._revision += 1
        for row in puts:
            self.writers[row["key"]] = caller
            self._write(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body.get("deletes", []):
            if key in self._items:
                self._remove(key)
        self._wake()
        return _answer({"revision": self._revision})

    def _grant(self, ttl_ms: int) -> web.Response:
        self._last_lease += 1
        ends_at_s = asyncio.get_running_loop().time() + ttl_ms / 1000
        self._leases[self._last_lease] = _Lease(ttl_s=ttl_ms / 1000, ends_at_s=ends_at_s)
        return _answer({"lease": self._last_lease, "ttlMs": ttl_ms})

    def _keep(self, number: int) -> web.Response:
        lease = self._leases.get(number)
        if lease is None:
            return _answer({}, 404)
        lease.ends_at_s = asyncio.get_running_loop().time() + lease.ttl_s
        return _answer({"ttlMs": int(lease.ttl_s * 1000)})


def _answer(body: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=json.dumps(body).encode(), content_type="application/json"
    )
