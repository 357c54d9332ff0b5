"""HTTP server of the platform stand-in: the key-value service and the list of instances."""

from __future__ import annotations

import asyncio
import socket
import threading
from collections.abc import Callable
from concurrent.futures import CancelledError, Future
from http import HTTPStatus
from typing import Any, TypeVar
from weakref import WeakSet

from cheroot.server import Gateway, HTTPServer

from shallotworks.kv import ListedInstance, wire

from ._memory_instances import MemoryInstanceList
from ._memory_store import MemoryStore, StoreFaults
from ._platform_routes import HttpAnswer, HttpCall, PlatformRoutes

__all__ = ["PlatformStandIn", "serve_platform"]

DEFAULT_THREADS = 48
DEFAULT_MAX_WATCH_THREADS = 32
"""Threads that waiting watches may occupy; the others serve calls that are answered at once."""
MAX_SILENT_THREADS = 8
"""Threads that silent connections may occupy; beyond them, a silent connection is closed."""
MAX_KEEP_ALIVE_CONNECTIONS = 1_000
LISTEN_BACKLOG = 512
"""Cheroot's defaults of 10 kept connections and a backlog of 5 fail with more than ten callers:
connections are closed or dropped."""
CONNECTION_TIMEOUT_S = 120
SHUTDOWN_TIMEOUT_S = 1
IDLE_CHECK_INTERVAL_S = 0.1
"""Interval of the check for idle connections; a stop waits for one such check."""

_Value = TypeVar("_Value")


class PlatformStandIn:
    """Serves a `MemoryStore` and a `MemoryInstanceList` over HTTP.

    The store and the list run on an event loop in a thread of their own. Every method may be
    called from any thread except that one.

    Args:
        host: IP address to listen on.
        port: Port to listen on; 0 for any free port.
        lag_s: Replication lag of the list of instances.
        threads: Number of threads that serve connections.
        watch_threads: Number of these threads that waiting watches may occupy; further watches
            are refused with status 503.
    """

    __slots__ = (
        "_bind_address",
        "_instances",
        "_loop",
        "_open_connections",
        "_routes",
        "_server",
        "_silent_connections",
        "_silent_slots",
        "_stopping",
        "_store",
        "_thread_count",
        "_threads",
        "_watch_slots",
    )

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        lag_s: float = 0.0,
        threads: int = DEFAULT_THREADS,
        watch_threads: int = DEFAULT_MAX_WATCH_THREADS,
    ) -> None:
        self._bind_address = (host, port)
        self._thread_count = threads
        self._loop = asyncio.new_event_loop()
        self._store = MemoryStore()
        self._instances = MemoryInstanceList(lag_s=lag_s)
        self._routes = PlatformRoutes(store=self._store, instances=self._instances)
        self._watch_slots = threading.BoundedSemaphore(watch_threads)
        self._silent_slots = threading.BoundedSemaphore(MAX_SILENT_THREADS)
        self._open_connections: WeakSet[Any] = WeakSet()
        self._silent_connections: WeakSet[Any] = WeakSet()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self._server: HTTPServer | None = None

    @property
    def address(self) -> str:
        """Address as ``ip:port``; valid once the server has started."""
        host, port = self._bind_address
        return f"{host}:{port}"

    def start(self) -> None:
        """Start serving on threads of this process; return once connections are accepted."""
        # A `Listener` can't be used: WSGI identifies a connection only by the client's port number.
        # A later connection may reuse that port and would be silent, too, but the fault must affect
        # only the connections that are open when it is injected.
        server = HTTPServer(
            self._bind_address,
            _make_gateway(self),
            minthreads=self._thread_count,
            maxthreads=self._thread_count,
        )
        server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        server.request_queue_size = LISTEN_BACKLOG
        server.timeout = CONNECTION_TIMEOUT_S
        server.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        server.expiration_interval = IDLE_CHECK_INTERVAL_S
        server.prepare()
        self._bind_address = (server.bind_addr[0], server.bind_addr[1])
        self._server = server
        for name, target in (("loop", self._loop.run_forever), ("server", server.serve)):
            thread = threading.Thread(target=target, name=f"platform-{name}", daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop the server, cancel waiting watches, and release the port."""
        self._stopping.set()
        self._call_on_loop(self._cancel_tasks)
        if self._server is not None:
            self._server.stop()
        # Cancels calls that arrived before the server stopped; their threads would wait for them.
        self._call_on_loop(self._cancel_tasks)
        self._loop.call_soon_threadsafe(self._loop.stop)
        for thread in self._threads:
            thread.join()
        self._loop.close()

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the active faults; ``down`` applies to the list of instances, too."""
        self._call_on_loop(lambda: self._store.set_faults(faults))
        self._instances.is_down = faults.down

    def wipe(self) -> None:
        """Remove every key and lease."""
        self._call_on_loop(self._store.wipe)

    def roll_back_to(self, version: int) -> None:
        """Undo every write and deletion after a version."""
        self._call_on_loop(lambda: self._store.roll_back_to(version))

    def set_instances(self, instances: tuple[ListedInstance, ...]) -> None:
        """Replace the list of instances; reads return the new one once the lag has passed."""
        self._call_on_loop(lambda: self._instances.replace_all(instances))

    def silence_connections(self) -> None:
        """Stop answering on all connections that have carried a call; new ones are answered."""
        self._silent_connections |= self._open_connections

    def calls(self) -> dict[str, int]:
        """Return the number of calls to the store so far, by the name of the call."""
        return self._call_on_loop(lambda: dict(self._store.calls))

    def serve_call(self, connection: Any, call: HttpCall) -> HttpAnswer:
        """Answer one call on a connection; runs on the server's threads."""
        self._open_connections.add(connection)
        if connection in self._silent_connections:
            return self._hold_without_answer()
        if call.path != wire.WATCH_PATH:
            return self._answer_on_loop(call)
        # Each waiting watch occupies a thread. Without this limit, watches could occupy all threads
        # and block the writes that they wait for.
        if not self._watch_slots.acquire(blocking=False):
            return HttpAnswer(status=503, body=b'{"reason": "too many watches"}')
        try:
            return self._answer_on_loop(call)
        finally:
            self._watch_slots.release()

    def _answer_on_loop(self, call: HttpCall) -> HttpAnswer:
        if self._stopping.is_set():
            return HttpAnswer(drop=True)
        future = asyncio.run_coroutine_threadsafe(self._routes.answer(call), self._loop)
        try:
            return future.result()
        except CancelledError:
            return HttpAnswer(drop=True)

    def _hold_without_answer(self) -> HttpAnswer:
        if self._silent_slots.acquire(blocking=False):
            self._stopping.wait(CONNECTION_TIMEOUT_S)
            self._silent_slots.release()
        return HttpAnswer(drop=True)

    def _cancel_tasks(self) -> None:
        for task in asyncio.all_tasks(self._loop):
            task.cancel()

    def _call_on_loop(self, function: Callable[[], _Value]) -> _Value:
        done: Future[_Value] = Future()

        def run() -> None:
            try:
                done.set_result(function())
            except Exception as error:
                done.set_exception(error)

        self._loop.call_soon_threadsafe(run)
        return done.result()


def serve_platform(*, host: str, port: int, lag_s: float = 0.0) -> PlatformStandIn:
    """Start a platform stand-in; the caller stops it.

    Args:
        host: IP address to listen on.
        port: Port to listen on; 0 for any free port.
        lag_s: Replication lag of the list of instances.
    """
    standin = PlatformStandIn(host=host, port=port, lag_s=lag_s)
    standin.start()
    return standin


def _make_gateway(standin: PlatformStandIn) -> type[Gateway]:
    class BoundGateway(_Gateway):
        owner = standin

    return BoundGateway


class _Gateway(Gateway):
    """Reads one request, passes it to the stand-in and writes the answer."""

    owner: PlatformStandIn

    def respond(self) -> None:
        request = self.req
        length = int(request.inheaders.get(b"Content-Length", b"0"))
        call = HttpCall(
            method=request.method.decode("latin-1"),
            path=request.path.decode("latin-1"),
            query=request.qs.decode("latin-1"),
            body=request.rfile.read(length) if length else b"",
        )
        answer = self.owner.serve_call(request.conn, call)
        if answer.drop:
            self._drop()
            return
        phrase = HTTPStatus(answer.status).phrase
        request.status = f"{answer.status} {phrase}".encode()
        request.outheaders.append((b"Content-Type", b"application/json"))
        request.outheaders.append((b"Content-Length", str(len(answer.body)).encode()))
        request.ensure_headers_sent()
        request.write(answer.body)

    def _drop(self) -> None:
        # Cheroot writes nothing more to a connection whose headers are marked as sent.
        self.req.sent_headers = True
        self.req.close_connection = True
        self.req.conn.socket.shutdown(socket.SHUT_RDWR)
