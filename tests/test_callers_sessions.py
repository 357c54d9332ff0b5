"""Golden tests of whole sessions of callers through the real callers' port."""

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
from tests.entry import BODY_LIMIT_BYTES, InProcessEntry, fleet_state_of
from tests.fakes import LoopThread
from tests.golden_files import assert_golden

SESSION_DEADLINE_S = 10.0
LONG_WORK_MS = "600"
TIMEOUT_S = 10.0
MAX_SHOWN_BODY_BYTES = 200
RETRY_PATTERN = re.compile(r'"retry_after_s":[0-9.]+')
REQUEST_ID_PATTERN = re.compile(r"\b[0-9a-f]{24}\b")
OMITTED_HEADERS = {"date", "server", "content-length"}
"""These headers differ between runs. Content-Length is checked separately, since the body contains
a random retry delay whose number of digits varies."""


class CallersSession:
    """A caller's requests to one instance with one worker, recorded as a transcript.

    Args:
        test: The test, which receives the clean-ups and assertions.
        services: Services that the worker serves.
        team: The caller's team, which has a quota of one slot.
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
            state=fleet_state_of([self.worker], services=services, quotas={team: 1}),
            store=self.store,
            limits=DispatchLimits(team_waiting_per_slot=0),
            attempt_timeout_s=SESSION_DEADLINE_S,
            deadline_s=SESSION_DEADLINE_S,
        )
        self.entry.start()
        test.addCleanup(self.entry.stop)
        self._request_numbers: dict[str, str] = {}

    def add_note(self, line: str) -> None:
        """Add a note about events other than requests to the transcript."""
        self.text += f"# {line}\n\n"

    def set_store(self, **faults: bool) -> None:
        """Inject faults into the store."""
        self.loop_thread.loop.call_soon_threadsafe(
            self.store.set_faults, StoreFaults(**faults)  # type: ignore[arg-type]
        )

    def set_worker(self, fault: WorkerFault) -> None:
        """Inject a fault into the worker."""
        self.worker.set_faults(WorkerFaults(fault=fault))

    def send(self, line: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Send one request and record it with its response."""
        method, path = line.split(" ")
        connection = HTTPConnection("127.0.0.1", self.entry.port, timeout=TIMEOUT_S)
        connection.request(method, path, body=body or None, headers=headers)
        response = connection.getresponse()
        received = response.read().decode()
        connection.close()
        self._test.assertEqual(response.headers["Content-Length"], str(len(received)))
        shown_body = body.decode()
        if len(body) > MAX_SHOWN_BODY_BYTES:
            shown_body = f"({len(body)} bytes)"
        self.text += _format_message(">", line, list(headers.items()), shown_body)
        self.text += _format_message(
            "<", f"{response.status} {response.reason}", response.getheaders(), received
        )
        self.text += "\n"

    def hold_quota(self, headers: dict[str, str]) -> threading.Thread:
        """Start a request that holds the team's only slot; the returned thread ends with it."""
        thread = threading.Thread(target=self._send_unrecorded, args=(headers,))
        thread.start()
        deadline_s = time.monotonic() + TIMEOUT_S
        while not self.entry.dispatcher.in_flight and time.monotonic() < deadline_s:
            time.sleep(0.005)
        return thread

    def wait_idle(self) -> None:
        """Wait until no request holds a slot."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while self.entry.dispatcher.in_flight and time.monotonic() < deadline_s:
            time.sleep(0.005)

    def transcript(self) -> str:
        """Return the transcript with request ids replaced by numbers in order of appearance."""
        text = RETRY_PATTERN.sub('"retry_after_s":(seconds)', self.text)
        return REQUEST_ID_PATTERN.sub(self._number_request_id, text)

    def _send_unrecorded(self, headers: dict[str, str]) -> None:
        connection = HTTPConnection("127.0.0.1", self.entry.port, timeout=TIMEOUT_S)
        connection.request("GET", "/model", headers={**headers, "Work-Ms": LONG_WORK_MS})
        connection.getresponse().read()
        connection.close()

    def _number_request_id(self, match: re.Match[str]) -> str:
        return self._request_numbers.setdefault(
            match.group(), f"(request {len(self._request_numbers) + 1})"
        )


def _format_message(mark: str, line: str, headers: list[tuple[str, str]], body: str) -> str:
    lines = [f"{mark} {line}"]
    lines += [f"{mark} {n}: {v}" for n, v in sorted(headers) if n.lower() not in OMITTED_HEADERS]
    lines += [f"{mark}", *(f"{mark} {part}" for part in body.splitlines())]
    return "\n".join(lines) + "\n"


class GoldenSessionTests(unittest.TestCase):
    def test_fjellsending_crew_session(self) -> None:
        """Guards against unintended changes to the responses to a crew and to its retries."""
        session = CallersSession(self, services=("traces", "parts"), team="crews")
        trace = {"Shallot-Service": "traces", "Shallot-Team": "crews"}
        parts = {"Shallot-Service": "parts", "Shallot-Team": "crews"}
        order = {**parts, "Idempotency-Key": "van-7-order-1"}
        session.send("GET /trace?mast=7", trace)
        session.send("POST /sweep", {**trace, "Shallot-Idempotent": "yes"}, b"antenna 3, 2.1 GHz")
        session.send("POST /orders", order, b"2 tubes")
        session.add_note("the crew has seen no answer and orders again under its key")
        session.send("POST /orders", order, b"2 tubes")
        session.add_note("the key by mistake for another order")
        session.send("POST /orders", order, b"9 tubes")
        session.send("GET /trace?mast=7", {"Shallot-Team": "crews"})
        session.send("POST /photo", trace, b"x" * (BODY_LIMIT_BYTES + 1))
        session.send("GET /trace?mast=7", {**trace, "Shallot-Service": "tracing"})
        session.add_note("another request of the team holds its one slot")
        other = session.hold_quota(trace)
        session.send("GET /trace?mast=7", trace)
        other.join()
        session.wait_idle()
        session.add_note("the store is down")
        session.set_store(down=True)
        session.send("POST /orders", {**parts, "Idempotency-Key": "van-7-order-2"}, b"1 tube")
        session.send("GET /trace?mast=7", trace)
        session.set_store()
        session.add_note("the worker refuses")
        session.set_worker(WorkerFault.REFUSE)
        session.send("POST /orders", {**parts, "Idempotency-Key": "van-7-order-3"}, b"1 tube")
        session.add_note("the worker answers in part")
        session.set_worker(WorkerFault.PARTIAL)
        session.send("POST /orders", {**parts, "Idempotency-Key": "van-7-order-4"}, b"1 tube")
        session.add_note("the worker is well again, and the crew asks again under that key")
        session.set_worker(WorkerFault.NONE)
        session.send("POST /orders", {**parts, "Idempotency-Key": "van-7-order-4"}, b"1 tube")
        runs = [f"{run.key or 'no key'}, attempt {run.attempt}" for run in session.worker.runs()]
        session.add_note("what the worker ran: " + "; ".join(runs))
        assert_golden(self, "callers-fjellsending.txt", session.transcript())

    def test_tijera_receptionist_session(self) -> None:
        """A booking with an idempotency key runs once despite faults and retries."""
        session = CallersSession(self, services=("bookings", "agenda"), team="salon-12")
        agenda = {"Shallot-Service": "agenda", "Shallot-Team": "salon-12"}
        booking = {"Shallot-Service": "bookings", "Shallot-Team": "salon-12"}
        ten = {**booking, "Idempotency-Key": "salon-12-0001"}
        session.send("GET /agenda?stylist=ines", agenda)
        session.send("POST /bookings", ten, b"ines 10:00")
        session.send("POST /bookings", ten, b"ines 10:00")
        session.send("POST /bookings", ten, b"ines 11:00")
        session.add_note("the worker answers another client's request")
        session.set_worker(WorkerFault.FOREIGN)
        session.send("POST /bookings", booking, b"rosa 12:00")
        session.add_note("the worker fails everything")
        session.set_worker(WorkerFault.FAIL_ALL)
        failed = {**booking, "Idempotency-Key": "salon-12-0002"}
        session.send("POST /bookings", failed, b"rosa 13:00")
        session.set_worker(WorkerFault.NONE)
        session.send("POST /bookings", failed, b"rosa 13:00")
        session.send("POST /bookings", {**booking, "Idempotency-Key": "k" * 201}, b"ines 15:00")
        session.send("PUT /agenda", {**agenda, "Shallot-Deadline-Ms": "soon"}, b"ines")
        session.send("GET /agenda", {**agenda, "Shallot-Team": "salon-99"})
        runs = [f"{run.key or 'no key'}, attempt {run.attempt}" for run in session.worker.runs()]
        session.add_note("what the worker ran: " + "; ".join(runs))
        assert_golden(self, "callers-tijera.txt", session.transcript())
