"""Baselines of `bench.relay`: a target that answers immediately, and a minimal relay to it.

``python -m bench._bare target|relay`` prints its port, then serves until standard input ends. The
minimal relay is cheroot and urllib3 only, without admission, target selection or checks.
"""

from __future__ import annotations

import argparse
import sys
import threading
from collections.abc import Callable, Iterable
from typing import Any

import urllib3
from cheroot import wsgi

THREADS = 64


def target(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
    """Answer immediately with an empty body; the headers repeat the request's id and attempt."""
    start_response(
        "200 OK",
        [
            ("Content-Length", "0"),
            ("Shallot-Request-Id", environ.get("HTTP_SHALLOT_REQUEST_ID", "")),
            ("Shallot-Attempt", environ.get("HTTP_SHALLOT_ATTEMPT", "")),
        ],
    )
    return [b""]


def bare_relay(port: int) -> Callable[..., Iterable[bytes]]:
    """Return a WSGI application that forwards each request to one local port."""
    pool = urllib3.HTTPConnectionPool("127.0.0.1", port, maxsize=THREADS, retries=False)

    def application(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        answer = pool.request(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        start_response(f"{answer.status} OK", [("Content-Length", str(len(answer.data)))])
        return [answer.data]

    return application


def serve(application: Callable[..., Any], *, defaults: bool) -> None:
    """Print the free port that the application is served on; serve until standard input ends.

    Args:
        application: The WSGI application.
        defaults: Whether to keep cheroot's own limits on backlog and kept-alive connections.
    """
    backlog = 5 if defaults else 512
    server = wsgi.Server(
        ("127.0.0.1", 0), application, numthreads=THREADS, request_queue_size=backlog
    )
    if not defaults:
        server.keep_alive_conn_limit = 1_000
    server.prepare()
    print(server.bind_addr[1], flush=True)

    threading.Thread(target=server.serve, daemon=True).start()
    sys.stdin.read()
    server.stop()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["target", "relay"])
    parser.add_argument("--target-port", type=int, default=0)
    parser.add_argument("--defaults", action="store_true", help="cheroot's own limits")
    arguments = parser.parse_args()
    served = target if arguments.what == "target" else bare_relay(arguments.target_port)
    serve(served, defaults=arguments.defaults)
