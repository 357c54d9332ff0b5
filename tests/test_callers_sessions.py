"""Golden files of whole sessions of callers, through the real callers' port."""

from __future__ import annotations

import re
import threading
import time
import unittest
from http.client import HTTPConnection

from shallotworks.requests import DispatchLimits
from shallotworks.standins import (
    MemoryStore,
    StoreFaults,
    WorkerFault,
    WorkerFaults,
    WorkerStandIn,
)
from tests.entry import BODY_LIMIT_BYTES, InProcessEntry, state_of
from tests.fakes import LoopThread
from tests.golden_files import assert_golden

SESSION_DEADLINE_S = 10.0
LONG_WORK_MS = "600"
WAIT_S = 10.0
SHOWN_BODY_BYTES = 200
RETRY_PATTERN = re.compile(r'"retry_after_s":[0-9.]+')
ID_PATTERN = re.compile(r"\b[0-9a-f]{24}\b")
LEFT_OUT = {"date", "server", "content-length"}
"""The length is checked; the text would show how many digits a drawn time has."""


class CallersSession:
    """One caller's requests to one instance with one worker, and the text of what passes.

    Args:
        test: The test, for its clean-ups.
        services: Services that the worker serves.
        team: The caller's team, whose quota is one slot.
    """

    def __init__(self, test: unittest.TestCase, *, services: tuple[str, ...], team: str) -> None:
        self._test = test
        self.text = ""
        self.store = MemoryStore()
        self.loop_thread = LoopThread()
        test.addCleanup(self.loop_thread.stop)
        self.worker = WorkerStandIn(name="w1", slots=4)
        self.worker.start()
        test.addCleanup(self.worker.stop)
        self.entry = InProcessEntry(
            name="entry-1",
            loop_thread=self.loop_thread,
            state=state_of([self.worker], services=services, quotas={team: 1}),
            store=self.store,
            limits=DispatchLimits(team_waiting_per_slot=0),
            attempt_timeout_s=SESSION_DEADLINE_S,
            deadline_s=SESSION_DEADLINE_S,
        )
        self.entry.start()
        test.addCleanup(self.entry.stop)
        self._ids: dict[str, str] = {}

    def write(self, line: str) -> None:
        """Note what happens besides the requests."""
        self.text += f"# {line}\n\n"

    def set_store(self, **faults: bool) -> None:
        """Put faults of the store in force."""
        self.loop_thread.loop.call_soon_threadsafe(
            self.store.set_faults, StoreFaults(**faults)  # type: ignore[arg-type]
        )

    def set_worker(self, fault: WorkerFault) -> None:
        """Put a fault of the worker in force."""
        self.worker.set_faults(WorkerFaults(fault=fault))

    def ask(self, line: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Send one request and note it with its answer."""
        method, path = line.split(" ")
        connection = HTTPConnection("127.0.0.1", self.entry.port, timeout=WAIT_S)
        connection.request(method, path, body=body or None, headers=headers)
        answer = connection.getresponse()
        received = answer.read().decode()
        connection.close()
        self._test.assertEqual(answer.headers["Content-Length"], str(len(received)))
        shown = body.decode()
        if len(body) > SHOWN_BODY_BYTES:
            shown = f"({len(body)} bytes)"
        self.text += _block(">", line, list(headers.items()), shown)
        self.text += _block("<", f"{answer.status} {answer.reason}", answer.getheaders(), received)
        self.text += "\n"

    def hold_quota(self, headers: dict[str, str]) -> threading.Thread:
        """Begin a request that holds the team's one slot; join the thread to await its end."""
        thread = threading.Thread(target=self._send_quietly, args=(headers,))
        thread.start()
        ends_at_s = time.monotonic() + WAIT_S
        while not self.entry.dispatcher.in_flight and time.monotonic() < ends_at_s:
            time.sleep(0.005)
        return thread

    def wait_idle(self) -> None:
        """Wait until no request holds a slot."""
        ends_at_s = time.monotonic() + WAIT_S
        while self.entry.dispatcher.in_flight and time.monotonic() < ends_at_s:
            time.sleep(0.005)

    def transcript(self) -> str:
        """Return the session with request ids numbered in the order of their appearance."""
        text = RETRY_PATTERN.sub('"retry_after_s":(seconds)', self.text)
        return ID_PATTERN.sub(self._numbered, text)

    def _send_quietly(self, headers: dict[str, str]) -> None:
        connection = HTTPConnection("127.0.0.1", self.entry.port, timeout=WAIT_S)
        connection.request("GET", "/model", headers={**headers, "Work-Ms": LONG_WORK_MS})
        connection.getresponse().read()
        connection.close()

    def _numbered(self, found: re.Match[str]) -> str:
        return self._ids.setdefault(found.group(), f"(request {len(self._ids) + 1})")


def _block(mark: str, line: str, headers: list[tuple[str, str]], body: str) -> str:
    shown = [f"{mark} {line}"]
    shown += [f"{mark} {n}: {v}" for n, v in sorted(headers) if n.lower() not in LEFT_OUT]
    shown += [f"{mark}", *(f"{mark} {part}" for part in body.splitlines())]
    return "\n".join(shown) + "\n"


class GoldenSessionTests(unittest.TestCase):
    def test_a_crew_of_fjellsending(self) -> None:
        """Every kind of answer that a crew can get is what the page of the port says."""
        session = CallersSession(self, services=("traces", "parts"), team="crews")
        trace = {"Shallot-Service": "traces", "Shallot-Team": "crews"}
        parts = {"Shallot-Service": "parts", "Shallot-Team": "crews"}
        order = {**parts, "Idempotency-Key": "van-7-order-1"}
        session.ask("GET /trace?mast=7", trace)
        session.ask("POST /sweep", {**trace, "Shallot-Idempotent": "yes"}, b"antenna 3, 2.1 GHz")
        session.ask("POST /orders", order, b"2 tubes")
        session.write("the crew has seen no answer and orders again under its key")
        session.ask("POST /orders", order, b"2 tubes")
        session.write("the key by mistake for another order")
        session.ask("POST /orders", order, b"9 tubes")
        session.ask("GET /trace?mast=7", {"Shallot-Team": "crews"})
        session.ask("POST /photo", trace, b"x" * (BODY_LIMIT_BYTES + 1))
        session.ask("GET /trace?mast=7", {**trace, "Shallot-Service": "tracing"})
        session.write("another request of the team holds its one slot")
        other = session.hold_quota(trace)
        session.ask("GET /trace?mast=7", trace)
        other.join()
        session.wait_idle()
        session.write("the store is down")
        session.set_store(down=True)
        session.ask("POST /orders", {**parts, "Idempotency-Key": "van-7-order-2"}, b"1 tube")
        session.ask("GET /trace?mast=7", trace)
        session.set_store()
        session.write("the worker refuses")
        session.set_worker(WorkerFault.REFUSE)
        session.ask("POST /orders", {**parts, "Idempotency-Key": "van-7-order-3"}, b"1 tube")
        session.write("the worker answers in part")
        session.set_worker(WorkerFault.PARTIAL)
        session.ask("POST /orders", {**parts, "Idempotency-Key": "van-7-order-4"}, b"1 tube")
        session.write("the worker is well again, and the crew asks again under that key")
        session.set_worker(WorkerFault.NONE)
        session.ask("POST /orders", {**parts, "Idempotency-Key": "van-7-order-4"}, b"1 tube")
        runs = [f"{run.key or 'no key'}, attempt {run.attempt}" for run in session.worker.runs()]
        session.write("what the worker ran: " + "; ".join(runs))
        assert_golden(self, "callers-fjellsending.txt", session.transcript())

    def test_a_receptionist_of_tijera_de_plata(self) -> None:
        """A booking is made once, whatever goes wrong, and each answer says what to do next."""
        session = CallersSession(self, services=("bookings", "agenda"), team="salon-12")
        agenda = {"Shallot-Service": "agenda", "Shallot-Team": "salon-12"}
        booking = {"Shallot-Service": "bookings", "Shallot-Team": "salon-12"}
        ten = {**booking, "Idempotency-Key": "salon-12-0001"}
        session.ask("GET /agenda?stylist=ines", agenda)
        session.ask("POST /bookings", ten, b"ines 10:00")
        session.ask("POST /bookings", ten, b"ines 10:00")
        session.ask("POST /bookings", ten, b"ines 11:00")
        session.write("the worker answers another client's request")
        session.set_worker(WorkerFault.FOREIGN)
        session.ask("POST /bookings", booking, b"rosa 12:00")
        session.write("the worker fails everything")
        session.set_worker(WorkerFault.FAIL_ALL)
        failed = {**booking, "Idempotency-Key": "salon-12-0002"}
        session.ask("POST /bookings", failed, b"rosa 13:00")
        session.set_worker(WorkerFault.NONE)
        session.ask("POST /bookings", failed, b"rosa 13:00")
        session.ask("POST /bookings", {**booking, "Idempotency-Key": "k" * 201}, b"ines 15:00")
        session.ask("PUT /agenda", {**agenda, "Shallot-Deadline-Ms": "soon"}, b"ines")
        session.ask("GET /agenda", {**agenda, "Shallot-Team": "salon-99"})
        runs = [f"{run.key or 'no key'}, attempt {run.attempt}" for run in session.worker.runs()]
        session.write("what the worker ran: " + "; ".join(runs))
        assert_golden(self, "callers-tijera.txt", session.transcript())
