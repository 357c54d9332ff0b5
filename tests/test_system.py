"""Whole-system failures on real processes: kills, freezes, outages, races of operators."""

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
    """A fleet that serves, callers that ask all of it, and what must hold at the end."""

    def setUp(self) -> None:
        context = running_system()
        self.system: System = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.entries = self.system.entries

    def run_under_load(self, action: Callable[[], None]) -> Ledger:
        """Let callers ask all entry instances while something happens; returns their ledger."""
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
        """Fail where a promise to a caller was broken."""
        violations = count_violations(ledger, self.system.workers)
        self.assertEqual(violations.doubled, 0)
        self.assertEqual(violations.cut_off, 0)
        self.assertEqual(violations.foreign, 0)
        self.assertEqual(violations.untrue, 0)
        # A run whose answer was lost on the way is one whose caller was told so.
        self.assertLessEqual(violations.lost, violations.unknown)
        if not unknown_allowed:
            self.assertEqual(ledger.unknown, {})
        self.assertGreater(ledger.answered.total(), 100)

    def operator_at(self, entry: Entry) -> DemoOperator:
        """Give an operator at one entry instance."""
        context = self.system.operator(entry)
        self.addCleanup(context.__exit__, None, None, None)
        return context.__enter__()


class EntryFailureTests(SystemCase):
    def test_killed_entry(self) -> None:
        """A killed entry instance loses no order and doubles none.

        Story: a receptionist has sent a booking when the machine of her entry instance fails. She
        is told nothing, and sends it again under its key, now to another instance. The first one
        had sent the booking to a worker, or not; it must not be booked twice.
        """

        def kill() -> None:
            self.entries[0].kill()
            time.sleep(1.5)

        ledger = self.run_under_load(kill)
        self.check_guarantees(ledger, unknown_allowed=True)

    def test_rolling_replacement(self) -> None:
        """All entry instances are replaced one by one under load, and no request notices.

        Story: a new release is rolled out at noon. Each instance is told to stop, answers what it
        has begun, sends its callers elsewhere and ends; its successor takes the configuration from
        its peers. A request cut off, or a configuration that is gone, would be the instance's
        fault.
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
        """A request that runs for longer than the notice of a stop is answered all the same.

        Story: an instance is told to stop while a coverage model runs for a crew. It is told to
        callers for a second that it stops; the model takes longer. A stop that did not wait would
        cut it off, and the crew would not know whether it ran.
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
        """While the store is down, what can be served is served, and nothing is promised falsely.

        Story: the platform's store is down. Crews still get their traces. An order with a key
        can't be claimed, so it is refused, truly as not run. An entry instance that is replaced
        meanwhile has no store to read, and takes the configuration from its peers. A change is
        refused; once the store is back it is accepted and in force everywhere within 8 s.
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
        """A conductor that freezes is replaced, and on waking does nothing more.

        Story: a night's maintenance runs. The machine of the instance that conducts it freezes for
        a while; another takes the plan over when the lease lapses. The first wakes in the middle
        of a step and would cordon or reboot as if nothing had happened: two instances of a pool
        would be away at once, or one rebooted twice.
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
        """Wait until one of the instances conducts the plan."""
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
        """Of two plans over the same instance one is confirmed; the other is told by whom.

        Story: Kari drains a rack while Ola, at another data centre, drains an instance in it. Both
        were shown a plan and confirm in the same moment. Both plans would wait for and release the
        same instance.
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
        """An instance that the platform takes away gets no new work after 3 s, and loses none.

        Story: the platform marks a worker as leaving in its list. Requests that reach it later
        would be lost with it; those in flight finish.
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
    """Looks again and again how many instances of a pool are unavailable by configuration."""

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
                # The instance asked may be the one that is frozen.
                continue
            for entry in instances:
                if entry.condition is Condition.CORDONED:
                    cordoned[entry.pool] = cordoned.get(entry.pool, 0) + 1
            self.max_unavailable_seen = max(self.max_unavailable_seen, *cordoned.values(), 0)
