"""The operators' port of one instance."""

from __future__ import annotations

import asyncio

from returns.result import Failure as Err

from shallotworks.errors import ShallotworksError
from shallotworks.listener import Listener
from shallotworks.metrics import Metrics
from shallotworks.settings import OperatorsSettings, read_token
from shallotworks.timeline import Timeline

from ._application import MAX_BODY_BYTES, OperatorsApplication
from ._bridge import EventLoopBridge
from ._fleet_handlers import FleetHandlers
from ._openapi import describe_api
from ._plan_handlers import PlanHandlers
from ._process_handlers import ProcessHandlers
from ._protocols import OperatorBackend
from ._routes import Handlers, build_routes

__all__ = ["OperatorsServer"]

RECEIVE_TIMEOUT_S = 10.0
"""A call is short: whoever has not sent it by then is cut off, and the thread is free again."""
MAX_DISCARDED_BODY_BYTES = 2 * MAX_BODY_BYTES
"""A refused body up to here is read and dropped, so that its sender gets to read why."""
STOP_TIMEOUT_S = 5.0


class OperatorsServer:
    """Serves the operators' API of one instance on a port of its own.

    Args:
        settings: Where to listen, and the token.
        process: Name of the instance.
        loop: The event loop on which the backend runs.
        backend: The instance.
        timeline: Its events; this server adds who did what.
        metrics: Its metrics.

    Raises:
        ShallotworksError: ``INVALID_SETTINGS`` where the token can't be read.
    """

    __slots__ = ("_listener",)

    def __init__(
        self,
        *,
        settings: OperatorsSettings,
        process: str,
        loop: asyncio.AbstractEventLoop,
        backend: OperatorBackend,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        token = read_token(settings.token_file)
        if isinstance(token, Err):
            raise ShallotworksError(token.failure())
        bridge = EventLoopBridge(loop=loop)
        routes = build_routes(
            Handlers(
                fleet=FleetHandlers(backend=backend, bridge=bridge),
                plans=PlanHandlers(backend=backend, bridge=bridge),
                process=ProcessHandlers(
                    backend=backend,
                    bridge=bridge,
                    timeline=timeline,
                    process=process,
                    api_description=lambda: describe_api(routes),
                ),
            )
        )
        application = OperatorsApplication(
            loop=loop, routes=routes, token=token.unwrap(), timeline=timeline, metrics=metrics
        )
        self._listener = Listener(
            host=settings.host,
            port=settings.port,
            application=application,
            threads=settings.threads,
            body_limit_bytes=MAX_DISCARDED_BODY_BYTES,
            receive_timeout_s=RECEIVE_TIMEOUT_S,
            stop_timeout_s=STOP_TIMEOUT_S,
        )

    @property
    def port(self) -> int:
        """The port listened at."""
        return self._listener.port

    def start(self) -> None:
        """Bind the port and begin to serve.

        Raises:
            ShallotworksError: ``INVALID_SETTINGS`` where the port can't be bound.
        """
        self._listener.start()

    def stop(self) -> None:
        """Take no new call and let those in progress end; blocks for some seconds at the most.

        Not to be called on the event loop, which calls in progress still wait for.
        """
        self._listener.stop()
