"""What `bench.relay` compares with: a target that answers at once, and the barest relay to it.

Run as ``python -m bench._bare target|relay``; prints its port, then serves until standard input
ends. The barest relay is cheroot and urllib3 and nothing else: no admission, no choice, no checks.
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
    """Answer at once with an empty body, repeating the request's id and attempt."""
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
    """Return an application that passes each request on to one port."""
    pool = urllib3.HTTPConnectionPool("127.0.0.1", port, maxsize=THREADS, retries=False)

    def application(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        answer = pool.request(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        start_response(f"{answer.status} OK", [("Content-Length", str(len(answer.data)))])
        return [answer.data]

    return application


def serve(application: Callable[..., Any], *, defaults: bool) -> None:
    """Serve on a free port until standard input ends."""
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
