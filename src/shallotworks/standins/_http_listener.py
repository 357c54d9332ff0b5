"""An HTTP listener and answers for the servers of the users' platform's protocol."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

__all__ = ["HttpListener", "json_response", "drop_connection"]

SHUTDOWN_TIMEOUT_S = 0.1
"""Time for requests in flight to finish when the listener stops."""


def json_response(body: dict[str, Any], status: int = 200) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        status=status, body=json.dumps(body).encode(), content_type="application/json"
    )


def drop_connection(request: web.BaseRequest) -> web.Response:
    """Abort the connection of a request.

    The returned response only satisfies the type of a handler; the client doesn't get it.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


class HttpListener:
    """Serves HTTP on one address.

    Args:
        handle: Answers each request.
        host: Address to listen on.
        port: Port to listen on; 0 for any free one.
    """

    def __init__(
        self,
        *,
        handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        host: str,
        port: int = 0,
    ) -> None:
        self.address = ""
        self._host = host
        self._port = port
        self._runner = web.ServerRunner(web.Server(handle), shutdown_timeout=SHUTDOWN_TIMEOUT_S)

    async def start(self) -> str:
        """Start listening; return the address as ``ip:port``."""
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self.address

    async def stop(self) -> None:
        """Stop listening, and wait up to `SHUTDOWN_TIMEOUT_S` for requests in flight."""
        await self._runner.cleanup()
