"""The users' platform's store over HTTP, on the stand-in's store, for tests of the adapter."""

from __future__ import annotations

import asyncio
import base64
import json
import random

from aiohttp import web

from shallotworks.standins import RecordStore
from shallotworks.store import Commit, Condition, Conflicted, Deletion, Item, Write


class StoreServer:
    """Serves a `RecordStore`; faults are switched on by tests."""

    def __init__(self) -> None:
        self.store = RecordStore(rng=random.Random(1))
        self.status = 0
        """Answered to each call, where not 0, with nothing done."""
        self.lose_answers = False
        self.address = ""
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen on any free port."""
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close."""
        assert self._runner is not None
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.status:
            return web.Response(status=self.status)
        response = await self._answer(request)
        if self.lose_answers:
            await asyncio.sleep(3)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        store, query = self.store, request.query
        if request.path == "/v1/kv-key":
            item = store.items.get(query["key"])
            if item is None:
                return web.Response(status=404)
            return _json(_row(item) | {"atRev": store.revision})
        if request.path == "/v1/kv-range":
            page = store.read_page(query["prefix"], query.get("after", ""))
            rows = [_row(item) for item in page.items]
            return _json({"items": rows, "hasMore": page.has_more, "atRev": page.revision})
        if request.path == "/v1/kv-watch":
            return await self._watch(request)
        if request.path == "/v1/kv-txn":
            return self._commit(await request.json())
        if request.path == "/v1/kv-lease":
            ttl_ms = (await request.json())["ttlMs"]
            return _json({"lease": store.grant_lease(ttl_ms / 1000), "ttlMs": ttl_ms})
        number = int(request.path.rsplit("/", 1)[1])
        if request.method == "DELETE":
            store.end_lease(number)
            return _json({})
        return _json({"ttlMs": 1}) if store.renew_lease(number) else web.Response(status=404)

    async def _watch(self, request: web.BaseRequest) -> web.StreamResponse:
        query = request.query
        changes = await self.store.watch(
            query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000
        )
        if changes.is_history_lost:
            return web.Response(status=410)
        rows = [
            (
                {"key": event.key, "revision": event.revision, "deleted": True}
                if isinstance(event, Deletion)
                else _row(event)
            )
            for event in changes.events
        ]
        return _json({"events": rows, "atRev": changes.revision})

    def _commit(self, body: dict[str, list[dict[str, object]]]) -> web.StreamResponse:
        outcome = self.store.carry_out(
            Commit(
                conditions=tuple(
                    Condition(key=str(row["key"]), revision=int(str(row["revision"])))
                    for row in body["expected"]
                ),
                writes=tuple(
                    Write(
                        key=str(row["key"]),
                        value=base64.b64decode(str(row["value"])),
                        lease_id=int(str(row["lease"])),
                    )
                    for row in body["puts"]
                ),
                deletes=tuple(str(key) for key in body["deletes"]),
            )
        )
        if outcome is None:
            return web.Response(status=404)
        if isinstance(outcome, Conflicted):
            return _json({"items": [_row(item) for item in outcome.current]}, status=412)
        return _json({"revision": outcome.revision})


def _row(item: Item) -> dict[str, object]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease_id,
    }


def _json(body: dict[str, object], status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=json.dumps(body).encode(), content_type="application/json"
    )
