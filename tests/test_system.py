"""Whole-system failure tests on real processes: crashes, freezes, outages and operator races."""

from __future__ import annotations

import signal
import threading
import time
import unittest
from collections.abc import Callable

import urllib3

from shallotworks.demo import DemoOperator
from shallotworks.fleet import Condition, Pool, PutPool
from shallotworks.kv import ListedInstance
from shallotworks.operators import PlanView
from shallotworks.plans import Drain, InPool, InRack, Intent, Maintain, Named
from shallotworks.standins import Callers, Ledger, StoreFaults, count_violations
from tests.system import DATA_CENTRES, Entry, System, running_system, wait_for

SEED = 11
PLAN_TIMEOUT_S = 60.0
IN_FORCE_TIMEOUT_S = 8.0
LEAVING_TIMEOUT_S = 3.0


class SystemCase(unittest.TestCase):
    """Base of tests that run a serving fleet under load and check its guarantees to callers."""

    def setUp(self) -> None:
        context = running_system()
        self.system: System = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.entries = self.system.entries

    def run_under_load(self, action: Callable[[], None]) -> Ledger:
        """Run an action while callers send requests to all entry instances; return their ledger."""
        ports = [entry.callers_port for entry in self.entries]
        callers = Callers(ports=ports, seed=SEED, repeat_unknown=True)
        callers.start()
        try:
            time.sleep(1.0)
            action()
            time.sleep(1.0)
        finally:
            callers.stop()
        return callers.ledger

    def check_guarantees(self, ledger: Ledger, *, unknown_allowed: bool) -> None:
        """Fail if a guarantee to a caller was violated."""
        violations = count_violations(ledger, self.system.workers)
        self.assertEqual(violations.doubled, 0)
        self.assertEqual(violations.cut_off, 0)
        self.assertEqual(violations.foreign, 0)
        self.assertEqual(violations.falsely_refused, 0)
        # If an answer was lost on the way, its caller must have received an unknown outcome.
        self.assertLessEqual(violations.lost, violations.unknown)
        if not unknown_allowed:
            self.assertEqual(ledger.unknown, {})
        self.assertGreater(ledger.answered.total(), 100)

    def operator_at(self, entry: Entry) -> DemoOperator:
        """Return an operator connected to one entry instance."""
        context = self.system.operator(entry)
        self.addCleanup(context.__exit__, None, None, None)
        return context.__enter__()


class EntryFailureTests(SystemCase):
    def test_killed_entry(self) -> None:
        """A caller repeats a request at another instance after its entry instance was killed.

        The killed instance may have sent it to a worker; it must be neither lost nor run twice.
        """

        def kill() -> None:
            self.entries[0].kill()
            time.sleep(1.5)

        ledger = self.run_under_load(kill)
        self.check_guarantees(ledger, unknown_allowed=True)

    def test_rolling_replacement(self) -> None:
        """A rolling replacement of all entry instances under load must not abort a request.

        Each successor must load the configuration from its peers instead of serving without one.
        """
        codes: list[int] = []

        def replace_all() -> None:
            for entry in self.entries:
                codes.append(entry.stop())
                entry.start()
                entry.wait_serving()

        ledger = self.run_under_load(replace_all)
        self.assertEqual(codes, [0] * len(self.entries))
        self.check_guarantees(ledger, unknown_allowed=False)

    def test_stop_waits_for_what_is_in_flight(self) -> None:
        """A request that runs for longer than the one-second notice of a stop is still answered.

        A stop that did not wait would abort it and leave its outcome unknown to the caller.
        """
        answers: list[int] = []

        def send_long_request() -> None:
            answer = urllib3.request(
                "POST",
                f"http://127.0.0.1:{self.entries[0].callers_port}/model",
                headers={"Shallot-Service": "traces", "Work-Ms": "2500"},
                retries=False,
                timeout=10.0,
            )
            answers.append(answer.status)

        caller = threading.Thread(target=send_long_request)
        caller.start()
        wait_for(lambda: any(each.status().in_flight for each in self.system.workers), 5.0)
        code = self.entries[0].stop()
        caller.join()
        self.assertEqual((answers, code), ([200], 0))


class StoreOutageTests(SystemCase):
    def test_store_down(self) -> None:
        """In a store outage requests without a key are served; keyed ones are refused as not run.

        A restarted instance loads from peers; a refused change is in force 8 s after recovery.
        """
        served = Ledger()

        def take_store_down() -> None:
            self.system.platform.set_faults(StoreFaults(down=True))
            self.entries[3].kill()
            self.entries[3].start()
            self.entries[3].wait_serving()
            operator = self.operator_at(self.entries[3])
            revision = operator.status().revision
            self.assertGreater(revision, 0)
            change = PutPool(pool=Pool(name="archive"))
            with self.assertRaisesRegex(RuntimeError, "store-unavailable"):
                operator.apply([change])
            self.system.platform.set_faults(StoreFaults())
            wait_for(lambda: self._accepted(operator, change), IN_FORCE_TIMEOUT_S)
            for entry in self.entries:
                self.system.wait_revision(entry, revision + 1, IN_FORCE_TIMEOUT_S)

        served = self.run_under_load(take_store_down)
        self.check_guarantees(served, unknown_allowed=True)
        self.assertGreater(served.refused["store-unavailable"], 0)

    def _accepted(self, operator: DemoOperator, change: PutPool) -> bool:
        try:
            operator.apply([change])
        except RuntimeError:
            return False
        return True


class PlanFailureTests(SystemCase):
    def test_frozen_conductor(self) -> None:
        """A conductor that resumes after a freeze, its lease expired and taken over, must not act.

        Continuing its step, it would cordon a second instance of a pool or reboot one twice.
        """
        operator = self.operator_at(self.entries[1])
        budget_monitor = _BudgetMonitor(operator)

        def maintain() -> None:
            plan = operator.propose(Maintain(selection=InPool(pool="traces")))
            operator.confirm(plan.plan.digest)
            conductor = self._conductor(plan)
            budget_monitor.start()
            time.sleep(1.0)
            conductor.signal(signal.SIGSTOP)
            survivor = next(entry for entry in self.entries if entry is not conductor)
            survivors_operator = self.operator_at(survivor)
            time.sleep(4.0)
            conductor.signal(signal.SIGCONT)
            wait_for(
                lambda: survivors_operator.plan(plan.plan.digest).stage == "done", PLAN_TIMEOUT_S
            )

        ledger = self.run_under_load(maintain)
        budget_monitor.stop()
        self.check_guarantees(ledger, unknown_allowed=True)
        self.assertLessEqual(budget_monitor.max_unavailable_seen, 1)
        traces = [worker for worker in self.system.workers if worker.name.endswith("traces")]
        self.assertEqual([worker.reboots for worker in traces], [1] * len(traces))

    def _conductor(self, plan: PlanView) -> Entry:
        """Wait until an entry instance holds the plan's lease, and return that instance."""
        found: list[Entry] = []

        def find_conductor() -> bool:
            for entry in self.entries:
                duties = self.operator_at(entry).status().duties
                if any(plan.plan.digest in duty for duty in duties):
                    found.append(entry)
                    return True
            return False

        wait_for(find_conductor, PLAN_TIMEOUT_S)
        return found[0]

    def test_conflicting_plans_of_two_operators(self) -> None:
        """Two operators in two data centres confirm plans over one instance at the same moment.

        One is refused, as both would drain it; the reason names the other operator or a new plan.
        """
        first, second = self.operator_at(self.entries[0]), self.operator_at(self.entries[2])
        rack_drain: Intent = Drain(selection=InRack(data_centre=DATA_CENTRES[0], rack="r1"))
        instance_drain: Intent = Drain(selection=Named(names=(f"{DATA_CENTRES[0]}-r1-traces",)))
        plans = [(first, first.propose(rack_drain)), (second, second.propose(instance_drain))]
        refusals: list[str] = []

        def confirm(operator: DemoOperator, plan: PlanView) -> None:
            try:
                operator.confirm(plan.plan.digest)
            except RuntimeError as error:
                refusals.append(str(error))

        threads = [threading.Thread(target=confirm, args=plan) for plan in plans]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(refusals), 1)
        self.assertRegex(refusals[0], "confirmed by kari|fresh proposal")


class LeavingTests(SystemCase):
    def test_leaving_target(self) -> None:
        """A worker that the platform lists as leaving gets no new request after 3 s.

        Requests that reach it later would be lost with it; those in flight must finish.
        """
        leaving = self.system.workers[0]
        listed = [
            ListedInstance(
                name=worker.name,
                address=worker.address,
                leaving=worker is leaving,
                incarnation="1",
            )
            for worker in self.system.workers
        ]
        runs: list[int] = []

        def mark_leaving() -> None:
            self.system.platform.set_instances(tuple(listed))
            time.sleep(LEAVING_TIMEOUT_S)
            runs.append(leaving.status().counts.runs)
            time.sleep(2.0)
            runs.append(leaving.status().counts.runs)

        ledger = self.run_under_load(mark_leaving)
        self.assertGreater(runs[0], 0)
        self.assertEqual(runs[0], runs[1])
        self.check_guarantees(ledger, unknown_allowed=False)


class _BudgetMonitor:
    """Polls the largest number of instances of one pool that are cordoned at the same time."""

    def __init__(self, operator: DemoOperator) -> None:
        self.max_unavailable_seen = 0
        self._operator = operator
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._poll, daemon=True)

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._stop.set()
        self._thread.join()

    def _poll(self) -> None:
        while not self._stop.wait(0.05):
            cordoned: dict[str, int] = {}
            try:
                instances = self._operator.instances().instances
            except Exception:
                # The entry instance polled may be the frozen one.
                continue
            for entry in instances:
                if entry.condition is Condition.CORDONED:
                    cordoned[entry.pool] = cordoned.get(entry.pool, 0) + 1
            self.max_unavailable_seen = max(self.max_unavailable_seen, *cordoned.values(), 0)
