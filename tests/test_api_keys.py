"""Tests of API keys: who may call, what a team sees, and revocations that can't be read."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from typing import Any

from parameterized import parameterized

from shallotworks.jobs import decode_job, decode_progress
from shallotworks.logs import StructuredLog
from shallotworks.metrics import Metrics
from shallotworks.platform._api_keys import ApiKeys, parse_key
from shallotworks.platform._configuration import (
    OPERATORS_PREFIX,
    OperatorRecords,
    decode_configuration,
)
from shallotworks.platform._configuration_proof import ConfigurationProof
from shallotworks.platform._ingress import Admission
from shallotworks.standins import FaultInjectingStore, RecordStore
from shallotworks.store import PrefixWatcher
from tests.scheduling_fakes import quiet_log
from tests.test_platform_ingress import HOST, JOB, JOB_ID, IngressHarness, run
from tests.virtual_clock import run_scenario

RED, RED_SPARE, BLUE, STRANGER = "red-key", "red-spare", "blue-key", "no-such-key"
REVOCATION_S = 5.0
APPLY_S = 3.0
"""Time within which instances in touch with the store apply a change. Source: the users' bounds."""


def configuration(version: int, red: list[str], blue: list[str]) -> dict[str, Any]:
    """Return a configuration of two teams with a keyed and a public queue."""
    return {
        "version": version,
        "routes": [
            {"name": "keyed", "host": "depot.example", "prefix": "/keyed/", "service": "s"},
            {
                "name": "open",
                "host": "depot.example",
                "prefix": "/open/",
                "service": "s",
                "public": True,
            },
        ],
        "services": [{"name": "s"}],
        "tenants": [
            {"name": "red", "apiKeys": red, "weight": 3, "maxCount": {"cpu": 900, "memMb": 0}},
            {"name": "blue", "apiKeys": blue},
        ],
    }


def with_key(key: str, scheme: str = "Token") -> dict[str, str]:
    """Return the headers of a call with a key."""
    return HOST | {"Authorization": f"{scheme} {key}"}


class KeyedHarness(IngressHarness):
    """An ingress that requires keys."""

    def __init__(self) -> None:
        super().__init__()
        self.is_proven = True
        self.configuration = decode_configuration(configuration(1, [RED, RED_SPARE], [BLUE]))
        self.ingress._admission = Admission(
            are_keys_required=True, is_configuration_proven=lambda: self.is_proven
        )


def run_keyed(scenario: Any) -> None:
    """Run a scenario against an ingress that requires keys."""
    run(scenario, KeyedHarness)


class AuthenticationTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("no key", HOST, 401),
            ("another scheme", with_key(RED, "Basic"), 401),
            ("an empty key", with_key(""), 401),
            ("a key of nobody", with_key(STRANGER), 401),
            ("a team's key", with_key(RED), 200),
            ("its second key", with_key(RED_SPARE), 200),
            ("the scheme in another case", with_key(RED, "token"), 200),
        ]
    )
    def test_only_calls_with_a_team_s_key_are_admitted(
        self, _name: str, headers: dict[str, str], status: int
    ) -> None:
        """Guards against a job whose key no configuration held."""

        async def scenario(harness: KeyedHarness) -> None:
            for method in ("POST", "GET", "DELETE"):
                body = JOB if method == "POST" else None
                answer = await harness.call(method, f"/keyed/{JOB_ID}", body, headers)
                self.assertEqual(status, answer.status, method)
            answer = await harness.call("GET", "/keyed/", None, headers)
            self.assertEqual(status, answer.status)
            self.assertEqual(status == 200, bool(harness.store.items))

        run_keyed(scenario)

    def test_public_queues_need_no_key(self) -> None:
        """Guards against callers of a public queue who are turned away for want of a key."""

        async def scenario(harness: KeyedHarness) -> None:
            harness.is_proven = False
            for headers in (HOST, with_key(STRANGER)):
                answer = await harness.call("POST", f"/open/{JOB_ID}", JOB, headers)
                self.assertEqual(200, answer.status)

        run_keyed(scenario)

    def test_a_team_sees_and_cancels_only_its_own_jobs(self) -> None:
        """Guards against a caller who reads, cancels or takes over the job of another team."""

        async def scenario(harness: KeyedHarness) -> None:
            path = f"/keyed/{JOB_ID}"
            self.assertEqual(200, (await harness.call("POST", path, JOB, with_key(RED))).status)
            self.assertEqual(409, (await harness.call("POST", path, JOB, with_key(BLUE))).status)
            self.assertEqual(410, (await harness.call("GET", path, None, with_key(BLUE))).status)
            self.assertEqual(410, (await harness.call("DELETE", path, None, with_key(BLUE))).status)
            answer = await harness.call("GET", path, None, with_key(RED_SPARE))
            self.assertEqual({"state": "queued"}, answer.body)
            self.assertEqual(
                200, (await harness.call("POST", path, JOB, with_key(RED_SPARE))).status
            )

        run_keyed(scenario)

    def test_the_team_is_stored_with_its_job(self) -> None:
        """Guards against a job that loses its team when another scheduler takes over."""

        async def scenario(harness: KeyedHarness) -> None:
            await harness.call("POST", f"/keyed/{JOB_ID}", JOB, with_key(RED))
            records = {key.rsplit(".", 1)[1]: item for key, item in harness.store.items.items()}
            self.assertEqual("red", decode_job(records["job"].value).team)
            self.assertEqual("red", decode_progress(records["progress"].value).team)

        run_keyed(scenario)

    def test_a_call_is_refused_while_the_configuration_is_not_proven(self) -> None:
        """Guards against a revoked key that an instance which is cut off still admits."""

        async def scenario(harness: KeyedHarness) -> None:
            harness.is_proven = False
            answer = await harness.call("POST", f"/keyed/{JOB_ID}", JOB, with_key(RED))
            self.assertEqual(503, answer.status)
            self.assertIn("has not run", answer.body["error"])
            self.assertFalse(harness.store.items)

        run_keyed(scenario)

    def test_parse_key(self) -> None:
        """Guards against a key that is read from a header of another scheme."""
        for header, key in (
            ("Token abc", "abc"),
            ("Token  abc ", "abc"),
            ("Bearer abc", None),
            ("Token", None),
            ("", None),
        ):
            self.assertEqual(key, parse_key(header), header)

    def test_a_key_of_two_teams_is_an_error_that_names_no_key(self) -> None:
        """Guards against a key in a log line, and against a job of the wrong team."""
        with self.assertRaises(ValueError) as raised:
            ApiKeys([("red", RED), ("blue", RED)])
        self.assertNotIn(RED, str(raised.exception))


class OperatorRecordTests(unittest.TestCase):
    def _records(self) -> OperatorRecords:
        return OperatorRecords(on_configuration=lambda _: None, log=quiet_log(), metrics=Metrics())

    def test_a_team_may_lose_all_its_keys(self) -> None:
        """Guards against a revocation that is refused because its team has no key left."""
        decoded = decode_configuration(configuration(2, [], [BLUE]))
        self.assertIsNone(decoded.api_keys.team_of(RED))
        self.assertEqual("blue", decoded.api_keys.team_of(BLUE))
        self.assertEqual((900, 0, 0), decoded.teams["red"].limit)

    @parameterized.expand(
        [
            ("a key of two teams", configuration(2, [RED], [RED])),
            ("an empty key", configuration(2, [""], [])),
            ("a key that is no text", configuration(2, [7], [])),  # type: ignore[list-item]
            ("teams that are no list", configuration(2, [], []) | {"tenants": {"name": "red"}}),
        ]
    )
    def test_an_unreadable_configuration_changes_nothing_and_proves_nothing(
        self, _name: str, body: dict[str, Any]
    ) -> None:
        """Guards against half a configuration, and against keys that an unreadable one revokes."""
        store = RecordStore(rng=random.Random(1))
        records = self._records()
        store.put("op/config", json.dumps(configuration(1, [RED], [BLUE])).encode())
        records.on_write(store.items["op/config"])
        self.assertTrue(records.is_configuration_readable)
        store.put("op/config", json.dumps(body).encode())
        records.on_write(store.items["op/config"])
        self.assertFalse(records.is_configuration_readable)
        assert records.configuration is not None
        self.assertEqual(1, records.configuration.version)
        self.assertEqual("red", records.configuration.api_keys.team_of(RED))

    def test_no_key_is_logged(self) -> None:
        """Guards against keys in what a process writes."""
        written = bytearray()

        def write(data: bytes) -> int:
            written.extend(data)
            return len(data)

        log = StructuredLog(process="p", write=write)
        records = OperatorRecords(on_configuration=lambda _: None, log=log, metrics=Metrics())
        store = RecordStore(rng=random.Random(1))
        for version, keys in ((1, [RED]), (2, [BLUE]), (3, [RED, 7])):
            body = configuration(version, keys, [BLUE])  # type: ignore[arg-type]
            store.put("op/config", json.dumps(body).encode())
            records.on_write(store.items["op/config"])
        log.flush()
        self.assertIn(b"configuration-in-force", written)
        for key in (RED, BLUE):
            self.assertNotIn(key.encode(), written)


class _Instance:
    """What an instance knows of the configuration: a watcher, the records and their proof."""

    def __init__(self, store: RecordStore) -> None:
        self.store = FaultInjectingStore(store=store)
        self.records = OperatorRecords(
            on_configuration=lambda _: None, log=quiet_log(), metrics=Metrics()
        )
        clock = asyncio.get_running_loop().time
        self.suspended_s = 0.0
        self.proof = ConfigurationProof(
            revocation_s=REVOCATION_S, clock=lambda: clock() + self.suspended_s
        )
        self.watcher = PrefixWatcher(
            store=self.store,
            prefix=OPERATORS_PREFIX,
            listener=self.records,
            log=quiet_log(),
            on_answer=lambda sent_s: self.proof.note_reading(
                sent_s, is_readable=self.records.is_configuration_readable
            ),
            clock=lambda: clock() + self.suspended_s,
        )
        self.task = asyncio.create_task(self.watcher.run())

    def admits(self, key: str) -> bool:
        """Whether a call with a key is admitted now."""
        known = self.records.configuration
        return self.proof.is_valid and known is not None and known.api_keys.team_of(key) is not None


class RevocationTests(unittest.TestCase):
    @parameterized.expand(["is_down", "is_silent"])
    def test_a_store_that_goes_away_before_a_revocation(self, fault: str) -> None:
        """Guards against a revoked key that an instance without the store admits for good."""

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            store.put("op/config", json.dumps(configuration(1, [RED], [])).encode())
            instance = _Instance(store)
            await asyncio.sleep(2.0)
            self.assertTrue(instance.admits(RED))
            setattr(instance.store.faults, fault, True)
            store.put("op/config", json.dumps(configuration(2, [], [])).encode())
            await asyncio.sleep(REVOCATION_S)
            self.assertFalse(instance.admits(RED))
            instance.task.cancel()

        run_scenario(scenario())

    def test_a_machine_that_was_suspended(self) -> None:
        """Guards against a machine that resumes and admits what was revoked meanwhile."""

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            store.put("op/config", json.dumps(configuration(1, [RED], [])).encode())
            instance = _Instance(store)
            await asyncio.sleep(2.0)
            instance.suspended_s = 2 * REVOCATION_S
            self.assertFalse(instance.admits(RED))
            await asyncio.sleep(2.0)
            self.assertTrue(instance.admits(RED))
            instance.task.cancel()

        run_scenario(scenario())

    def test_an_answer_that_was_held_up(self) -> None:
        """Guards against an answer that proves a configuration from its arrival on."""
        now_s = 100.0
        proof = ConfigurationProof(revocation_s=REVOCATION_S, clock=lambda: now_s)
        proof.note_reading(now_s - REVOCATION_S, is_readable=True)
        self.assertFalse(proof.is_valid)

    def test_without_a_bound_the_last_configuration_stays_in_force(self) -> None:
        """Guards against refused calls where only instances in touch must know a revocation."""
        proof = ConfigurationProof(revocation_s=float("inf"), clock=lambda: 1e9)
        self.assertTrue(proof.is_valid)

    @parameterized.expand([(seed,) for seed in range(12)])
    def test_drawn_histories(self, seed: int) -> None:
        """Guards against keys that are admitted after the bound, or refused by sound instances."""

        async def scenario() -> None:
            history = _DrawnHistory(seed)
            for version in range(2, 60):
                await history.observe(history.rng.uniform(0.1, 1.5))
                history.change_something(version)
            self.assertEqual([], history.faults)
            history.close()

        run_scenario(scenario())


class _DrawnHistory:
    """Three instances while keys come and go, the store is lost and regained, and history goes."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.faults: list[str] = []
        self._loop = asyncio.get_running_loop()
        self._store = RecordStore(rng=self.rng)
        self._in_force = {RED: 0.0}
        """The keys in force, each with the time from which it is."""
        self._revoked: dict[str, float] = {}
        self._write(1)
        self._instances = [_Instance(self._store) for _ in range(3)]
        self._sound_since_s = [0.0] * len(self._instances)

    def close(self) -> None:
        for instance in self._instances:
            instance.task.cancel()

    async def observe(self, for_s: float) -> None:
        ends_s = self._loop.time() + for_s
        while self._loop.time() < ends_s:
            await asyncio.sleep(0.1)
            for number, instance in enumerate(self._instances):
                self._check(number, instance, self._loop.time())

    def _check(self, number: int, instance: _Instance, now_s: float) -> None:
        for key, at_s in self._revoked.items():
            if now_s - at_s > REVOCATION_S and instance.admits(key):
                self.faults.append(f"{now_s:.1f} {number} admits {key}")
        for key, at_s in self._in_force.items():
            is_due = now_s - max(at_s, self._sound_since_s[number]) > APPLY_S
            if is_due and not instance.admits(key):
                self.faults.append(f"{now_s:.1f} {number} refuses {key}")

    def change_something(self, version: int) -> None:
        draw, now_s = self.rng.random(), self._loop.time()
        if draw < 0.3:
            self._in_force[f"key-{version}"] = now_s
        elif draw < 0.6 and self._in_force:
            key = self.rng.choice(sorted(self._in_force))
            del self._in_force[key]
            self._revoked[key] = now_s
        elif draw < 0.7:
            self._store.compact_history()
        else:
            self._toggle_store(self.rng.randrange(len(self._instances)))
        self._write(version)

    def _toggle_store(self, number: int) -> None:
        faults = self._instances[number].store.faults
        was_lost = faults.is_down or faults.is_silent
        faults.is_silent = not was_lost and self.rng.random() < 0.5
        faults.is_down = not was_lost and not faults.is_silent
        self._sound_since_s[number] = self._loop.time() if was_lost else float("inf")

    def _write(self, version: int) -> None:
        body = configuration(version, list(self._in_force), [])
        self._store.put("op/config", json.dumps(body).encode())


if __name__ == "__main__":
    unittest.main()
