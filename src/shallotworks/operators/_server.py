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
"""Longest time for a call to arrive. It is short because calls are short, so that a slow sender
is disconnected and its thread is free for other calls."""
MAX_DISCARDED_BODY_BYTES = 2 * MAX_BODY_BYTES
"""A rejected body up to this size is read and discarded, so that the sender receives the error
response instead of a connection reset."""
STOP_TIMEOUT_S = 5.0


class OperatorsServer:
    """Serves the operators' API of one instance on a port of its own.

    Args:
        settings: Listening address, thread count and token file.
        process: Name of the instance.
        loop: The event loop on which the backend runs.
        backend: The instance.
        timeline: Timeline of the instance; the server records the operators' calls in it.
        metrics: Metrics of the instance.

    Raises:
        ShallotworksError: ``INVALID_SETTINGS`` if the token can't be read.
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
        """The port that the server listens on."""
        return self._listener.port

    def start(self) -> None:
        """Bind the port and start serving.

        Raises:
            ShallotworksError: ``INVALID_SETTINGS`` if the port can't be bound.
        """
        self._listener.start()

    def stop(self) -> None:
        """Stop accepting calls and wait a few seconds at most for those in progress.

        This must not be called on the event loop, because calls in progress still wait for it.
        """
        self._listener.stop()
