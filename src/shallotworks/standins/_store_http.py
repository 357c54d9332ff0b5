"""The users' platform's store over HTTP, on the stand-in's store."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

from aiohttp import web
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.store import Commit, Condition, Conflicted, Deletion, Item, Write

from ._http_listener import HttpListener, answer_json, drop_connection
from ._record_store import FaultInjectingStore

__all__ = ["StoreServer"]

SILENCE_S = 3.0
"""An answer that `StoreServer.lose_answers` holds back: longer than any caller waits."""


class StoreServer:
    """Serves one caller's view of a store, with that view's faults.

    Args:
        view: The store as the caller meets it.
        host: Address to listen on; the port is any free one.
    """

    def __init__(self, *, view: FaultInjectingStore, host: str = "127.0.0.1") -> None:
        self.view = view
        self.store = view.store
        self.status = 0
        """Answered to each call, where not 0, with nothing done."""
        self.lose_answers = False
        self.listener = HttpListener(handle=self._handle, host=host)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.status:
            return web.Response(status=self.status)
        outcome = await self._answer(request)
        if self.lose_answers:
            await asyncio.sleep(SILENCE_S)
        if isinstance(outcome, Success):
            answer: web.StreamResponse = outcome.unwrap()
            return answer
        return self._refuse(request, outcome.failure())

    def _refuse(self, request: web.BaseRequest, failure: Failure) -> web.StreamResponse:
        if failure.kind is ErrorKind.LEASE_LOST:
            return web.Response(status=404)
        if failure.kind is ErrorKind.STORE_UNAVAILABLE and self.view.faults.is_down:
            return web.Response(status=503)
        return drop_connection(request)

    async def _answer(self, request: web.BaseRequest) -> Result[web.StreamResponse, Failure]:
        query = request.query
        if request.path == "/v1/kv-key":
            found = await self.view.get(query["key"])
            return found.map(self._item_answer)
        if request.path == "/v1/kv-range":
            page = await self.view.read_page(query["prefix"], after=query.get("after", ""))
            return page.map(
                lambda one: answer_json(
                    {
                        "items": [_row(item) for item in one.items],
                        "hasMore": one.has_more,
                        "atRev": one.revision,
                    }
                )
            )
        if request.path == "/v1/kv-watch":
            return await self._watch(request)
        if request.path == "/v1/kv-txn":
            outcome = await self.view.commit(_commit(await request.json()))
            return outcome.map(_commit_answer)
        return await self._lease_call(request)

    async def _lease_call(self, request: web.BaseRequest) -> Result[web.StreamResponse, Failure]:
        if request.path == "/v1/kv-lease":
            ttl_ms = (await request.json())["ttlMs"]
            granted = await self.view.grant_lease(ttl_s=ttl_ms / 1000)
            return granted.map(lambda number: answer_json({"lease": number, "ttlMs": ttl_ms}))
        number = int(request.path.rsplit("/", 1)[1])
        if request.method == "DELETE":
            ended = await self.view.revoke_lease(number)
            return ended.map(lambda _: answer_json({}))
        renewed = await self.view.renew_lease(number)
        return renewed.map(lambda _: answer_json({"ttlMs": 1}))

    async def _watch(self, request: web.BaseRequest) -> Result[web.StreamResponse, Failure]:
        query = request.query
        outcome = await self.view.watch(
            query["prefix"],
            after_revision=int(query["after"]),
            wait_s=int(query["waitMs"]) / 1000,
        )
        if not isinstance(outcome, Success):
            return Err(outcome.failure())
        changes = outcome.unwrap()
        if changes.is_history_lost:
            return Success(web.Response(status=410))
        rows = [_event(event) for event in changes.events]
        return Success(answer_json({"events": rows, "atRev": changes.revision}))

    def _item_answer(self, item: Item | None) -> web.StreamResponse:
        if item is None:
            return web.Response(status=404)
        return answer_json(_row(item) | {"atRev": self.store.revision})


def _commit(body: dict[str, list[Any]]) -> Commit:
    return Commit(
        conditions=tuple(
            Condition(key=row["key"], revision=row["revision"]) for row in body["expected"]
        ),
        writes=tuple(
            Write(key=row["key"], value=base64.b64decode(row["value"]), lease_id=row["lease"])
            for row in body["puts"]
        ),
        deletes=tuple(body["deletes"]),
    )


def _commit_answer(outcome: Any) -> web.StreamResponse:
    if isinstance(outcome, Conflicted):
        return answer_json({"items": [_row(item) for item in outcome.current]}, status=412)
    return answer_json({"revision": outcome.revision})


def _event(event: Item | Deletion) -> dict[str, object]:
    if isinstance(event, Deletion):
        return {"key": event.key, "revision": event.revision, "deleted": True}
    return _row(event)


def _row(item: Item) -> dict[str, object]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease_id,
    }
