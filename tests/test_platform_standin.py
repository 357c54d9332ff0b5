"""Tests of `shallotworks.standins.PlatformStandIn`: network faults as a client sees them."""

import threading
import unittest

import urllib3

from shallotworks.standins import PlatformStandIn, StoreFaults


class PlatformStandInTests(unittest.TestCase):
    def setUp(self) -> None:
        self.standin = PlatformStandIn(threads=4, watch_threads=1)
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.http = urllib3.HTTPConnectionPool(self.standin.address, retries=False, timeout=5)
        self.addCleanup(self.http.close)

    def create(self, key: str) -> int:
        body = b'{"key": "%s", "value": "djE="}' % key.encode()
        return self.http.request("POST", "/kv/v1/create", body=body).status

    def test_a_lost_answer_closes_the_connection_after_the_write(self) -> None:
        """Guards against a simulated lost answer that skips the write or reaches the client."""
        self.standin.set_faults(StoreFaults(lost_answers=1))
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.create("a")
        self.assertEqual(self.create("a"), 409)

    def test_waiting_watches_leave_threads_for_writes(self) -> None:
        """A watch over the limit is refused, and a write is served and ends the waiting watch."""
        answers = []

        def watch() -> None:
            path = "/kv/v1/watch?prefix=a&after_version=0&wait_s=5"
            answers.append(urllib3.request("GET", f"http://{self.standin.address}{path}").status)

        first = threading.Thread(target=watch)
        first.start()
        while self.standin.calls().get("watch", 0) < 1:
            pass
        watch()
        self.assertEqual(answers, [503])
        self.assertEqual(self.create("a"), 200)
        first.join()
        self.assertEqual(answers, [503, 200])

    def test_malformed_calls_are_refused(self) -> None:
        """Guards against accepting an invalid body or an unknown path."""
        self.assertEqual(self.http.request("POST", "/kv/v1/create", body=b"{").status, 400)
        self.assertEqual(self.http.request("GET", "/nowhere").status, 404)
