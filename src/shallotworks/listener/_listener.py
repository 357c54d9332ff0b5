"""A cheroot server that runs on its own thread."""

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
"""With cheroot's default of 10, every further connection is closed after one response."""
LISTEN_BACKLOG = 512
"""With cheroot's default of 5, SYNs are dropped during a burst and retried a second later."""
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
        host: IP address to listen on.
        port: TCP port; 0 for any free one.
        application: The WSGI application.
        threads: Number of threads, which limits the requests served at the same time.
        body_limit_bytes: Largest request body; a larger one is answered with status 413 and not
            read.
        read_timeout_s: Longest wait for the next bytes of a request, and longest idle time of a
            kept-alive connection.
        receive_timeout_s: Longest time for a complete request to arrive.
        stop_timeout_s: Time that `stop` waits for requests in flight.
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
        """Bind the port and start serving.

        Raises:
            ShallotworksError: ``INVALID_SETTINGS`` if the port can't be bound.
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
        """The port that the listener is bound to."""
        port: int = self._server.bind_addr[1]
        return port

    def stop(self) -> None:
        """Stop accepting connections and wait for requests in flight, up to the stop timeout."""
        stopping = threading.Thread(target=self._server.stop, name=f"stop-{self.port}")
        stopping.start()
        self._unblock_select()
        stopping.join()
        if self._thread is not None:
            self._thread.join()
            self._thread = None

    def _unblock_select(self) -> None:
        """Connect once, because cheroot checks its stop flag only when its select returns."""
        host, port = self._server.bind_addr
        with contextlib.suppress(OSError):
            socket.create_connection((host, port), timeout=UNBLOCK_TIMEOUT_S).close()


class _BoundedServer(wsgi.Server):
    """Logs cheroot's errors through absl instead of standard error, and limits slow senders."""

    ConnectionClass = BoundedConnection
    receive_timeout_s = DEFAULT_RECEIVE_TIMEOUT_S

    def error_log(
        self, msg: str = "", level: int = std_logging.INFO, traceback: bool = False
    ) -> None:
        """Log an error of the server; messages of lower levels are discarded."""
        if level >= std_logging.ERROR:
            logging.error("listener: %s", msg, exc_info=traceback)
