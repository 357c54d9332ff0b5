"""Callers for the demo and tests: a stream of requests, and a ledger of what became of each."""

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
"""Longest wait for the next bytes of an answer."""
REQUEST_INTERVAL_S = 0.01
"""Pause of each thread between two requests."""
STOPPING_AVOIDANCE_S = 1.5
"""A little longer than a stopping instance goes on answering that it stops."""
REPEATED_ORDER_RATIO = 0.2
"""Part of the orders that their caller sends a second time, under the same key."""


@unique
class _Kind(Enum):
    """What a caller asks for."""

    TRACE = "trace"
    ORDER = "order"
    MODEL = "model"


_WORK_MS_BY_KIND = {_Kind.TRACE: "5", _Kind.ORDER: "5", _Kind.MODEL: "150"}
_THREADS_BY_KIND = {_Kind.TRACE: 8, _Kind.ORDER: 4, _Kind.MODEL: 8}


@dataclass(slots=True, kw_only=True)
class Ledger:
    """What the callers have seen.

    Args:
        sent: Requests sent, repeats included, by class.
        answered: Whole answers to the caller's own request, by class.
        refused: Refusals that said "not run", by kind.
        refused_runs: Ids of the runs that were told as not run.
        unknown: Requests whose outcome was told as unknown, by kind, or that had no answer at all,
            by what ended the connection.
        foreign: Answers that were not to the caller's own request.
        keys: All keys of orders.
        answered_runs: Ids of the runs that the answers name: a key for orders, else a request id.
        latencies_s: How long each interactive answer took.
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
    """Threads that ask the entry instances in turn, as a balancer would spread them.

    An instance that says it is stopping is left alone for a while, as a balancer's health check
    would have it.

    Args:
        ports: Callers' ports of the entry instances.
        seed: Seed of what they ask.
        repeat_unknown: Whether an order whose outcome is not known is sent again, under its key.
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
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send no more and wait for what is under way."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        self._http.clear()

    def _send_until_stopped(self, kind: _Kind, rng: random.Random) -> None:
        while not self._stop.is_set():
            key = secrets.token_hex(8) if kind is _Kind.ORDER else ""
            body = f"{kind.value} {next(self._request_numbers)}".encode()
            known = self._send_request(kind, body, key, self._choose_port(rng))
            is_answer_lost = rng.random() < REPEATED_ORDER_RATIO
            if key and (is_answer_lost or (self._repeat_unknown and not known)):
                self._send_request(kind, body, key, self._choose_port(rng))
            self._stop.wait(REQUEST_INTERVAL_S)

    def _choose_port(self, rng: random.Random) -> int:
        now_s = time.monotonic()
        available_ports = [port for port in self._ports if self._avoided_until_s[port] <= now_s]
        return rng.choice(available_ports or self._ports)

    def _send_request(self, kind: _Kind, body: bytes, key: str, port: int) -> bool:
        """Send one request and note what became of it; returns whether its outcome is known."""
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
            # Not a byte was sent; a balancer would have tried the next instance.
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
                # Of a key, an earlier request may have run; of an id, there is one request only.
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
