"""One cheroot server on a thread of its own."""

from __future__ import annotations

import contextlib
import logging as std_logging
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

from absl import logging
from cheroot import wsgi

from shallotworks.errors import ErrorKind, Failure, ShallotworksError

from ._slow_senders import BoundedConnection

__all__ = ["Listener", "WsgiApplication"]

MAX_KEPT_ALIVE_CONNECTIONS = 1_000
"""Cheroot's own limit of 10 closes every further connection after one answer."""
LISTEN_BACKLOG = 512
"""Cheroot's own backlog of 5 drops SYNs under a burst; each is retried a second later."""
MAX_HEADER_BYTES = 32 * 1024
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
DEFAULT_READ_TIMEOUT_S = 10.0
DEFAULT_RECEIVE_TIMEOUT_S = 30.0
DEFAULT_STOP_TIMEOUT_S = 10.0
UNBLOCK_TIMEOUT_S = 1.0

WsgiApplication: TypeAlias = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class Listener:
    """Serves one WSGI application on one port.

    Args:
        host: IP number to listen at.
        port: Port; 0 for any free one.
        application: What answers.
        threads: Threads that serve requests, which bounds the requests served at once.
        body_limit_bytes: Longest request body; a longer one is answered with 413 unread.
        read_timeout_s: Longest wait for the next bytes of a request, and longest idle time of a
            kept-alive connection.
        receive_timeout_s: Longest time for a whole request to arrive.
        stop_timeout_s: How long `stop` waits for requests in flight.
    """

    __slots__ = ("_server", "_thread")

    def __init__(
        self,
        *,
        host: str,
        port: int,
        application: WsgiApplication,
        threads: int,
        body_limit_bytes: int = DEFAULT_MAX_BODY_BYTES,
        read_timeout_s: float = DEFAULT_READ_TIMEOUT_S,
        receive_timeout_s: float = DEFAULT_RECEIVE_TIMEOUT_S,
        stop_timeout_s: float = DEFAULT_STOP_TIMEOUT_S,
    ) -> None:
        self._server = _BoundedServer(
            (host, port),
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=LISTEN_BACKLOG,
            server_name="shallotworks",
        )
        self._server.timeout = read_timeout_s
        self._server.receive_timeout_s = receive_timeout_s
        self._server.shutdown_timeout = stop_timeout_s
        self._server.keep_alive_conn_limit = MAX_KEPT_ALIVE_CONNECTIONS
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.max_request_body_size = body_limit_bytes
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Bind the port and begin to serve.

        Raises:
            ShallotworksError: ``INVALID_SETTINGS`` where the port can't be bound.
        """
        host, port = self._server.bind_addr
        try:
            self._server.prepare()
        except OSError as error:
            reason = f"can't listen at {host}:{port}: {error}"
            raise ShallotworksError(
                Failure(kind=ErrorKind.INVALID_SETTINGS, reason=reason)
            ) from error
        self._thread = threading.Thread(
            target=self._server.serve, name=f"listener-{self.port}", daemon=True
        )
        self._thread.start()

    @property
    def port(self) -> int:
        """The port listened at."""
        port: int = self._server.bind_addr[1]
        return port

    def stop(self) -> None:
        """Take no new connection, let requests in flight finish within the set time."""
        stopping = threading.Thread(target=self._server.stop, name=f"stop-{self.port}")
        stopping.start()
        self._unblock_select()
        stopping.join()
        if self._thread is not None:
            self._thread.join()
            self._thread = None

    def _unblock_select(self) -> None:
        """Connect once, since cheroot looks at its stop flag only when its select returns."""
        host, port = self._server.bind_addr
        with contextlib.suppress(OSError):
            socket.create_connection((host, port), timeout=UNBLOCK_TIMEOUT_S).close()


class _BoundedServer(wsgi.Server):
    """Keeps cheroot's own messages out of standard error, and bounds slow senders."""

    ConnectionClass = BoundedConnection
    receive_timeout_s = DEFAULT_RECEIVE_TIMEOUT_S

    def error_log(
        self, msg: str = "", level: int = std_logging.INFO, traceback: bool = False
    ) -> None:
        """Log a fault of the server."""
        if level >= std_logging.ERROR:
            logging.error("listener: %s", msg, exc_info=traceback)
