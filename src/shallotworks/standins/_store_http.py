"""HTTP server of the users' platform's store, backed by a simulated store."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

from aiohttp import web
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure
from shallotworks.store import Commit, Condition, Conflicted, Deletion, Item, Write

from ._http_listener import HttpListener, drop_connection, json_response
from ._record_store import FaultInjectingStore

__all__ = ["StoreServer"]

LOST_ANSWER_DELAY_S = 3.0
"""Delay of an answer while `StoreServer.withholds_answers` is set, longer than any caller waits."""


class StoreServer:
    """Serves the store to one caller, with the faults that affect this caller.

    Args:
        view: The caller's access to the store.
        host: Address to listen on; the port is any free one.
    """

    def __init__(self, *, view: FaultInjectingStore, host: str = "127.0.0.1") -> None:
        self.view = view
        self.store = view.store
        self.status = 0
        """HTTP status that is answered to every call without any effect; 0 for normal operation."""
        self.withholds_answers = False
        self.listener = HttpListener(handle=self._handle, host=host)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.status:
            return web.Response(status=self.status)
        outcome = await self._answer(request)
        if self.withholds_answers:
            await asyncio.sleep(LOST_ANSWER_DELAY_S)
        if isinstance(outcome, Success):
            answer: web.StreamResponse = outcome.unwrap()
            return answer
        return self._answer_failure(request, outcome.failure())

    def _answer_failure(self, request: web.BaseRequest, failure: Failure) -> web.StreamResponse:
        if failure.kind is ErrorKind.LEASE_LOST:
            return web.Response(status=404)
        if failure.kind is ErrorKind.STORE_UNAVAILABLE and self.view.faults.is_down:
            return web.Response(status=503)
        return drop_connection(request)

    async def _answer(self, request: web.BaseRequest) -> Result[web.StreamResponse, Failure]:
        query = request.query
        if request.path == "/v1/kv-key":
            found = await self.view.get(query["key"])
            return found.map(self._answer_item)
        if request.path == "/v1/kv-range":
            page = await self.view.read_page(query["prefix"], after=query.get("after", ""))
            return page.map(
                lambda found_page: json_response(
                    {
                        "items": [_encode_item(item) for item in found_page.items],
                        "hasMore": found_page.has_more,
                        "atRev": found_page.revision,
                    }
                )
            )
        if request.path == "/v1/kv-watch":
            return await self._answer_watch(request)
        if request.path == "/v1/kv-txn":
            outcome = await self.view.commit(_decode_commit(await request.json()))
            return outcome.map(_encode_commit_outcome)
        return await self._answer_lease_call(request)

    async def _answer_lease_call(
        self, request: web.BaseRequest
    ) -> Result[web.StreamResponse, Failure]:
        if request.path == "/v1/kv-lease":
            ttl_ms = (await request.json())["ttlMs"]
            granted = await self.view.grant_lease(ttl_s=ttl_ms / 1000)
            return granted.map(
                lambda lease_number: json_response({"lease": lease_number, "ttlMs": ttl_ms})
            )
        lease_number = int(request.path.rsplit("/", 1)[1])
        if request.method == "DELETE":
            ended = await self.view.revoke_lease(lease_number)
            return ended.map(lambda _: json_response({}))
        renewed = await self.view.renew_lease(lease_number)
        return renewed.map(lambda _: json_response({"ttlMs": 1}))

    async def _answer_watch(self, request: web.BaseRequest) -> Result[web.StreamResponse, Failure]:
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
        encoded_events = [_encode_event(event) for event in changes.events]
        return Success(json_response({"events": encoded_events, "atRev": changes.revision}))

    def _answer_item(self, item: Item | None) -> web.StreamResponse:
        if item is None:
            return web.Response(status=404)
        return json_response(_encode_item(item) | {"atRev": self.store.revision})


def _decode_commit(body: dict[str, list[Any]]) -> Commit:
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


def _encode_commit_outcome(outcome: Any) -> web.StreamResponse:
    if isinstance(outcome, Conflicted):
        return json_response(
            {"items": [_encode_item(item) for item in outcome.current]}, status=412
        )
    return json_response({"revision": outcome.revision})


def _encode_event(event: Item | Deletion) -> dict[str, object]:
    if isinstance(event, Deletion):
        return {"key": event.key, "revision": event.revision, "deleted": True}
    return _encode_item(event)


def _encode_item(item: Item) -> dict[str, object]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease_id,
    }
