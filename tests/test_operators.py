"""Tests of `shallotworks.operators` over HTTP with a fake backend."""

import asyncio
import json
import unittest
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import urllib3
from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized

from shallotworks.errors import ErrorKind, ShallotworksError, attributes_of
from shallotworks.operators._application import MAX_BODY_BYTES
from shallotworks.operators._bridge import EventLoopBridge
from tests.fake_backend import TOKEN, ServedBackend
from tests.fakes import LoopThread
from tests.golden_files import assert_golden

DOCUMENT = Path(__file__).parent.parent / "docs" / "openapi.json"
POOL = b'{"kind": "put-pool", "pool": {"name": "traces"}}'
DRAIN = b'{"kind": "drain", "selection": {"kind": "pool", "pool": "fault-traces"}}'
FLEET = Path(__file__).parent.parent / "examples" / "fjellsending" / "fleet.json"
OPERATOR_HEADERS = {"Authorization": f"Bearer {TOKEN}", "Operator": "kari"}


class ServerCase(unittest.TestCase):
    def setUp(self) -> None:
        self.served = ServedBackend(self)
        self.http = urllib3.PoolManager(retries=False, timeout=10)
        self.addCleanup(self.http.clear)

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] = OPERATOR_HEADERS,
    ) -> tuple[int, Any, Any]:
        """Return the status, body and headers of one call."""
        url = f"http://{self.served.address}{path}"
        answer = self.http.request(method, url, body=body, headers=headers)
        return answer.status, json.loads(answer.data), answer.headers

    def apply_example_fleet(self) -> None:
        """Apply the changes that create the example fleet."""
        self.assertEqual(self.call("POST", "/v1/changes", body=FLEET.read_bytes())[0], 200)

    def assert_refused(self, response: tuple[int, Any, Any], kind: ErrorKind) -> None:
        """Check that an error response has the attributes of an error kind."""
        status, body, _ = response
        attributes = attributes_of(kind)
        self.assertEqual((body["kind"], status), (kind.value, attributes.status), body["reason"])
        self.assertEqual(
            (body["ran"], body["advice"]), (attributes.ran.value, attributes.advice.value)
        )


class TokenTests(ServerCase):
    @parameterized.expand(
        [
            ("none", {}),
            ("empty", {"Authorization": "Bearer "}),
            ("wrong", {"Authorization": "Bearer let-me-on"}),
            ("prefix", {"Authorization": "Bearer let-me-i"}),
            ("longer", {"Authorization": "Bearer let-me-in2"}),
            ("other_scheme", {"Authorization": "Basic let-me-in"}),
            ("bare", {"Authorization": "let-me-in"}),
            ("not_ascii", {"Authorization": "Bearer l\xe9t"}),
        ]
    )
    def test_call_without_the_token_is_refused(self, _name: str, headers: dict[str, str]) -> None:
        """Without the exact token, even an unknown path is answered with 401 and nothing is done.

        Otherwise such a call could take effect or reveal which paths exist.
        """
        for method, path in (("GET", "/v1/status"), ("GET", "/other"), ("POST", "/v1/changes")):
            body = POOL if method == "POST" else None
            response = self.call(method, path, body=body, headers={**headers, "Operator": "kari"})
            self.assert_refused(response, ErrorKind.UNAUTHORISED)
            self.assertEqual(response[2]["WWW-Authenticate"], "Bearer")
        self.assertEqual(self.served.backend.state.revision, 0)
        self.assertEqual(self.served.timeline.events(), ())


class CallTests(ServerCase):
    @parameterized.expand(
        [
            ("unknown_path", "GET", "/v1/jobs", None, ErrorKind.NOT_FOUND),
            ("below_a_path", "GET", "/v1/status/x", None, ErrorKind.NOT_FOUND),
            ("odd_digest", "GET", "/v1/plans/..%2f", None, ErrorKind.NOT_FOUND),
            ("unknown_digest", "GET", "/v1/plans/abc", None, ErrorKind.NOT_FOUND),
            ("wrong_method", "DELETE", "/v1/status", None, ErrorKind.INVALID_REQUEST),
            ("unknown_parameter", "GET", "/v1/instances?rack=r1", None, ErrorKind.INVALID_REQUEST),
            (
                "parameter_twice",
                "GET",
                "/v1/instances?pool=a&pool=b",
                None,
                ErrorKind.INVALID_REQUEST,
            ),
            ("not_a_number", "GET", "/v1/changes?limit=-1", None, ErrorKind.INVALID_REQUEST),
            ("unknown_kind", "GET", "/v1/timeline?kind=sent,x", None, ErrorKind.INVALID_REQUEST),
            ("unknown_format", "GET", "/v1/metrics?format=xml", None, ErrorKind.INVALID_REQUEST),
            ("not_json", "POST", "/v1/changes", b"{", ErrorKind.INVALID_REQUEST),
            ("no_body", "POST", "/v1/changes", b"", ErrorKind.INVALID_REQUEST),
            (
                "unknown_change",
                "POST",
                "/v1/changes",
                b'{"kind": "put-all"}',
                ErrorKind.INVALID_REQUEST,
            ),
            (
                "mistyped_key",
                "POST",
                "/v1/changes",
                b'[{"kind": "put-pool", "pool": {"name": "a", "nmae": "b"}}]',
                ErrorKind.INVALID_REQUEST,
            ),
            (
                "key_of_another_intent",
                "POST",
                "/v1/plans",
                b'{"kind": "drain", "selection": {"kind": "pool", "pool": "a"}, "count": 2}',
                ErrorKind.INVALID_REQUEST,
            ),
            (
                "plans_own_change",
                "POST",
                "/v1/changes",
                b'{"kind": "advance-plan", "digest": "a", "fencing_token": 9, "steps_done": 1}',
                ErrorKind.INVALID_REQUEST,
            ),
            ("not_an_intent", "POST", "/v1/plans", b'{"kind": "x"}', ErrorKind.INVALID_REQUEST),
            (
                "empty_intent",
                "POST",
                "/v1/plans",
                b'{"kind": "drain", "selection": {"kind": "named", "names": []}}',
                ErrorKind.UNSATISFIABLE,
            ),
            (
                "fenced_change",
                "POST",
                "/v1/changes",
                b'[{"kind": "set-condition", "names": [], "condition": "active", "plan": "a"}]',
                ErrorKind.INVALID_REQUEST,
            ),
            (
                "refused_change",
                "POST",
                "/v1/changes",
                b'{"kind": "remove-pool", "name": "x"}',
                ErrorKind.NOT_FOUND,
            ),
            (
                "too_large",
                "POST",
                "/v1/changes",
                b" " * (MAX_BODY_BYTES + 1),
                ErrorKind.TOO_LARGE,
            ),
        ]
    )
    def test_invalid_call_is_refused(
        self, _name: str, method: str, path: str, body: bytes | None, kind: ErrorKind
    ) -> None:
        """An invalid call gets the error of its kind and changes nothing; the next one succeeds."""
        self.assert_refused(self.call(method, path, body=body), kind)
        self.assertEqual(self.call("GET", "/v1/status")[0], 200)
        self.assertEqual(self.served.backend.state.revision, 0)

    def test_change_requires_operator_name(self) -> None:
        """A change without the name of its operator, or with an invalid one, is refused."""
        for name in ("", "kari\x07", "x" * 64):
            headers = {"Authorization": f"Bearer {TOKEN}", "Operator": name}
            response = self.call("POST", "/v1/changes", body=POOL, headers=headers)
            self.assert_refused(response, ErrorKind.INVALID_REQUEST)

    def test_partly_accepted_list_reports_accepted_changes(self) -> None:
        """An error for the third change of a list must not hide that two changes were accepted.

        Otherwise the operator sends the whole list again, and the accepted changes are refused.
        """
        changes = [json.loads(POOL), json.loads(POOL), {"kind": "remove-pool", "name": "x"}]
        response = self.call("POST", "/v1/changes", body=json.dumps(changes).encode())
        self.assert_refused(response, ErrorKind.NOT_FOUND)
        self.assertEqual([entry["revision"] for entry in response[1]["accepted"]], [1, 2])
        self.assertIn("change 2 (remove-pool)", response[1]["reason"])

    def test_store_outage_sets_retry_after(self) -> None:
        """While the store is down, a change is refused as not run, with a retry delay."""
        self.served.backend.store_down = True
        response = self.call("POST", "/v1/changes", body=POOL)
        self.assert_refused(response, ErrorKind.STORE_UNAVAILABLE)
        self.assertEqual((response[2]["Retry-After"], response[1]["retry_after_s"]), ("2", 2.0))

    def test_stale_plan_error_names_new_proposal(self) -> None:
        """Confirming a stale plan is refused, and the reason names the new proposal."""
        self.call("POST", "/v1/plans", body=DRAIN)
        self.served.backend.stale = True
        response = self.call("POST", "/v1/plans/000000000001/confirm")
        self.assert_refused(response, ErrorKind.STALE_PLAN)
        self.assertIn("fresh proposal: plan 000000000002", response[1]["reason"])

    def test_backend_exception_is_internal_error(self) -> None:
        """An exception of the backend becomes an internal error that doesn't reveal its text."""
        self.served.backend.fault = KeyError("secret")
        with self.assertLogs("absl", "ERROR"):
            response = self.call("GET", "/v1/status")
        self.assert_refused(response, ErrorKind.INTERNAL)
        self.assertNotIn("secret", response[1]["reason"])

    def test_changes_are_recorded_in_timeline(self) -> None:
        """Each call that may change something is recorded with its operator, outcome and plan."""
        self.apply_example_fleet()
        self.call("POST", "/v1/plans", body=DRAIN)
        self.call("POST", "/v1/plans/000000000001/confirm")
        self.call("POST", "/v1/changes", body=b"{")
        self.call("GET", "/v1/plans")
        events = self.call("GET", "/v1/timeline?kind=operator")[1]["events"]
        details = [event["detail"] for event in events]
        self.assertEqual(
            details[:3],
            [
                "kari: POST /changes: accepted",
                "kari: POST /plans: accepted",
                "kari: POST /plans/{digest}/confirm: accepted",
            ],
        )
        self.assertIn("invalid-request", details[3])
        self.assertEqual(len(details), 4)
        plans = {event["subject"]["plan"] for event in events}
        self.assertEqual(plans, {"", "000000000001" + "0" * 52})


class EventLoopBridgeTests(unittest.TestCase):
    """Guards against a change that is reported as not made and is accepted a moment later.

    After a timeout or stop, only a read or a coroutine that never started counts as not run.
    """

    def setUp(self) -> None:
        self.thread = LoopThread()
        self.addCleanup(self.stop)
        self.bridge = EventLoopBridge(
            loop=self.thread.loop, read_timeout_s=0.05, write_timeout_s=0.05
        )

    def stop(self) -> None:
        """Stop the event loop if the test has not done so."""
        if not self.thread.loop.is_closed():
            self.thread.stop()

    def error_kind_of(self, call: Callable[[Coroutine[Any, Any, None]], None]) -> ErrorKind:
        """Return the error kind that a call with a coroutine of one hour raises."""
        with self.assertRaises(ShallotworksError) as raised:
            call(asyncio.sleep(3600))
        return raised.exception.failure.kind

    def test_slow_coroutine(self) -> None:
        """A read that times out may be retried; a change that times out has an unknown outcome."""
        self.assertIs(self.error_kind_of(self.bridge.read), ErrorKind.DEADLINE_EXCEEDED)
        self.assertIs(self.error_kind_of(self.bridge.write), ErrorKind.OUTCOME_UNKNOWN)

    def test_timed_out_coroutine_is_cancelled(self) -> None:
        """A coroutine that timed out is cancelled, so that it can't take effect later."""
        self.error_kind_of(self.bridge.write)

        async def count_other_tasks() -> int:
            await asyncio.sleep(0)
            return len(asyncio.all_tasks()) - 1

        self.assertEqual(self.thread.run(count_other_tasks()), 0)

    def test_closed_loop(self) -> None:
        """A coroutine that never started is reported as not run."""
        self.thread.stop()
        self.assertIs(self.error_kind_of(self.bridge.write), ErrorKind.STOPPING)


class BodyFuzzTests(ServerCase):
    def test_any_body_gets_response_without_internal_error(self) -> None:
        """Guards against request bodies that cause an internal error."""

        @given(
            st.one_of(
                st.binary(max_size=50), _JSON_VALUES.map(lambda value: json.dumps(value).encode())
            )
        )
        def check(body: bytes) -> None:
            status, response_body, _ = self.call("POST", "/v1/changes", body=body)
            self.assertLess(status, 500, response_body)

        check()


_JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["kind", "pool", "name", "instance"]), inner, max_size=3),
    max_leaves=8,
)


class DescriptionTests(ServerCase):
    def test_document_matches_served_description(self) -> None:
        """The OpenAPI document in `docs` equals the one that an instance serves."""
        url = f"http://{self.served.address}/v1/openapi.json"
        served = self.http.request("GET", url, headers=OPERATOR_HEADERS).data.decode()
        assert_golden(self, DOCUMENT.name, served, folder=DOCUMENT.parent)

    def test_every_route_answers_as_described(self) -> None:
        """Each documented path is served, and the schema of a response lists its properties."""
        document = json.loads(DOCUMENT.read_text())
        schemas = document["components"]["schemas"]
        self.apply_example_fleet()
        plan = self.call("POST", "/v1/plans", body=DRAIN)[1]["plan"]["digest"]
        for path, operations in document["paths"].items():
            for method, operation in operations.items():
                body = (POOL if "changes" in path else DRAIN) if method == "post" else None
                url = path.replace("{digest}", plan)
                status, answer, _ = self.call(method.upper(), url, body=body)
                self.assertEqual(status, 200, (method, path, answer))
                described = operation["responses"]["200"]["content"]["application/json"]["schema"]
                if described:
                    name = described["$ref"].rsplit("/", 1)[1]
                    self.assertEqual(set(answer), set(schemas[name]["properties"]), path)


class ExpositionTests(ServerCase):
    def test_metrics_as_text(self) -> None:
        """The text exposition has a text content type and counts the answered calls."""
        self.call("GET", "/v1/status")
        self.call("GET", "/v1/jobs")
        url = f"http://{self.served.address}/v1/metrics?format=text"
        answer = self.http.request("GET", url, headers=OPERATOR_HEADERS)
        self.assertTrue(answer.headers["Content-Type"].startswith("text/plain; version=0.0.4"))
        assert_golden(self, "metrics.txt", answer.data.decode())
