"""What the stand-ins that speak the users' platform's protocol share: listening and answering."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

__all__ = ["HttpListener", "answer_json", "drop_connection"]

SHUTDOWN_TIMEOUT_S = 0.1
"""Requests in flight get this long when a stand-in closes."""


def answer_json(body: dict[str, Any], status: int = 200) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        status=status, body=json.dumps(body).encode(), content_type="application/json"
    )


def drop_connection(request: web.BaseRequest) -> web.Response:
    """Reset the connection of a request that gets no answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


class HttpListener:
    """Listens on a free port of one address.

    Args:
        handle: Answers requests.
        host: The address.
    """

    def __init__(
        self,
        *,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        host: str,
    ) -> None:
        self.address = ""
        self._host = host
        self._runner = web.ServerRunner(web.Server(handle), shutdown_timeout=SHUTDOWN_TIMEOUT_S)

    async def start(self) -> str:
        """Listen; return ``ip:port``."""
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Close."""
        await self._runner.cleanup()
