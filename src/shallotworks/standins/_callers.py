"""Callers that send a stream of requests and record the outcome of each, for the demo."""

from __future__ import annotations

import hashlib
import itertools
import random
import secrets
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique

import urllib3

from shallotworks.errors import ErrorKind
from shallotworks.requests import RequestClass

from ._description import TEAM

__all__ = ["Callers", "Ledger"]

READ_TIMEOUT_S = 15.0
"""Limit for connecting and for each read of an answer."""
REQUEST_INTERVAL_S = 0.01
"""Pause of each thread after a request and its repeat, if any."""
STOPPING_AVOIDANCE_S = 1.5
"""Slightly longer than a stopping instance keeps answering that it is stopping."""
REPEATED_ORDER_RATIO = 0.2
"""Ratio of the orders that their caller sends a second time with the same idempotency key."""


@unique
class _Kind(Enum):
    """Kind of a request."""

    TRACE = "trace"
    ORDER = "order"
    MODEL = "model"


_WORK_MS_BY_KIND = {_Kind.TRACE: "5", _Kind.ORDER: "5", _Kind.MODEL: "150"}
_THREADS_BY_KIND = {_Kind.TRACE: 8, _Kind.ORDER: 4, _Kind.MODEL: 8}


@dataclass(slots=True, kw_only=True)
class Ledger:
    """The outcomes of requests as their callers observed them.

    Args:
        sent: Number of requests sent, repeats included, by request class.
        answered: Number of complete answers to the caller's own request, by request class.
        refused: Number of refusals that state that the request was not run, by error kind.
        refused_runs: Ids of the requests without an idempotency key that such a refusal answered.
        unknown: Number of requests that were answered with an unknown outcome, by error kind, or
            that got no complete answer, by the name of the HTTP client's exception.
        foreign: Number of answers that had another status than 200 and no error kind, or that were
            not to the caller's own request.
        keys: The idempotency keys of all orders.
        answered_runs: Ids of the answered runs: the idempotency key of an order, otherwise the
            request id that the answer names.
        latencies_s: Latency of each complete answer to an interactive request.
    """

    sent: Counter[str] = field(default_factory=Counter)
    answered: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    refused_runs: set[str] = field(default_factory=set)
    unknown: Counter[str] = field(default_factory=Counter)
    foreign: int = 0
    keys: set[str] = field(default_factory=set)
    answered_runs: set[str] = field(default_factory=set)
    latencies_s: list[float] = field(default_factory=list)


class Callers:
    """Threads that send each request to a random entry instance, as a load balancer would.

    An instance that answers that it is stopping gets no requests for `STOPPING_AVOIDANCE_S`, as
    if a load balancer's health check had removed it. Where all instances are avoided, requests go
    to any of them.

    Args:
        ports: Callers' ports of the entry instances.
        seed: Seed of the random choices of all threads.
        repeat_unknown: Whether an order with an unknown outcome is sent again with the same
            idempotency key.
    """

    def __init__(self, *, ports: list[int], seed: int, repeat_unknown: bool = False) -> None:
        self.ledger = Ledger()
        self._ports = ports
        self._repeat_unknown = repeat_unknown
        self._avoided_until_s = dict.fromkeys(ports, 0.0)
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._request_numbers = itertools.count(1)
        self._http = urllib3.PoolManager(maxsize=64, retries=False, timeout=READ_TIMEOUT_S)
        self._threads = [
            threading.Thread(
                target=self._send_until_stopped, args=(kind, random.Random(f"{seed}{kind}{n}"))
            )
            for kind, count in _THREADS_BY_KIND.items()
            for n in range(count)
        ]

    def start(self) -> None:
        """Start sending requests."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending requests and wait for those in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self._http.clear()

    def _send_until_stopped(self, kind: _Kind, rng: random.Random) -> None:
        while not self._stop.is_set():
            key = secrets.token_hex(8) if kind is _Kind.ORDER else ""
            body = f"{kind.value} {next(self._request_numbers)}".encode()
            known = self._send_request(kind, body, key, self._choose_port(rng))
            is_repeated = rng.random() < REPEATED_ORDER_RATIO
            if key and (is_repeated or (self._repeat_unknown and not known)):
                self._send_request(kind, body, key, self._choose_port(rng))
            self._stop.wait(REQUEST_INTERVAL_S)

    def _choose_port(self, rng: random.Random) -> int:
        now_s = time.monotonic()
        available_ports = [port for port in self._ports if self._avoided_until_s[port] <= now_s]
        return rng.choice(available_ports or self._ports)

    def _send_request(self, kind: _Kind, body: bytes, key: str, port: int) -> bool:
        """Send one request and record its outcome; return whether the outcome is known."""
        request_class = RequestClass.INTERACTIVE
        if kind is _Kind.MODEL:
            request_class = RequestClass.LONG_RUNNING
        headers = {
            "Shallot-Service": "orders" if kind is _Kind.ORDER else "traces",
            "Shallot-Team": TEAM,
            "Shallot-Class": request_class.value,
            "Shallot-Idempotent": "no" if key else "yes",
            "Work-Ms": _WORK_MS_BY_KIND[kind],
        }
        if key:
            headers["Idempotency-Key"] = key
            self._update_ledger(lambda ledger: ledger.keys.add(key))
        started_s = time.monotonic()
        try:
            answer = self._http.request(
                "POST", f"http://127.0.0.1:{port}/{kind.value}", body=body, headers=headers
            )
        except urllib3.exceptions.NewConnectionError:
            # No byte was sent; a load balancer would have tried the next instance.
            return True
        except urllib3.exceptions.HTTPError as error:
            error_name = type(error).__name__
            self._update_ledger(lambda ledger: _record_unknown(ledger, request_class, error_name))
            return False
        duration_s = time.monotonic() - started_s
        self._update_ledger(
            lambda ledger: _record_answer(ledger, request_class, answer, body, key, duration_s)
        )
        if answer.headers.get("Shallot-Error-Kind") == ErrorKind.STOPPING.value:
            self._avoided_until_s[port] = time.monotonic() + STOPPING_AVOIDANCE_S
        return answer.headers.get("Shallot-Ran") != "unknown"

    def _update_ledger(self, change: Callable[[Ledger], None]) -> None:
        with self._lock:
            change(self.ledger)


def _record_unknown(ledger: Ledger, request_class: RequestClass, error_name: str) -> None:
    ledger.sent[request_class.value] += 1
    ledger.unknown[error_name] += 1


def _record_answer(
    ledger: Ledger,
    request_class: RequestClass,
    answer: urllib3.BaseHTTPResponse,
    body: bytes,
    key: str,
    duration_s: float,
) -> None:
    ledger.sent[request_class.value] += 1
    if "Shallot-Error-Kind" in answer.headers:
        if answer.headers.get("Shallot-Ran") == "no":
            ledger.refused[answer.headers["Shallot-Error-Kind"]] += 1
            if not key:
                # An earlier request with the same key may have run; a request id names one request.
                ledger.refused_runs.add(answer.headers.get("Shallot-Request-Id", ""))
        else:
            ledger.unknown[answer.headers["Shallot-Error-Kind"]] += 1
        return
    body_fields = answer.data.decode().split()
    if answer.status != 200 or body_fields[-1:] != [hashlib.sha256(body).hexdigest()]:
        ledger.foreign += 1
        return
    ledger.answered[request_class.value] += 1
    ledger.answered_runs.add(key or body_fields[1])
    if request_class is RequestClass.INTERACTIVE:
        ledger.latencies_s.append(duration_s)
