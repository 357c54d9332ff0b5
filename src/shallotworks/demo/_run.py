"""The demo: an operator drains a rack while callers send requests."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from rich.console import Console

from shallotworks.fleet import Condition, PlanState
from shallotworks.operators import PlanView
from shallotworks.plans import Drain, InRack, render_plan
from shallotworks.standins import Callers, WorkerStandIn
from shallotworks.timeline import merge, to_chrome_trace

from ._fleet import DATA_CENTRES, DRAINED_RACK, DemoFleet
from ._operator import DemoOperator
from ._report import Report, make_report, print_report

__all__ = ["run_demo"]

SEED = 7
WARM_UP_S = 3.0
"""Time for which callers send requests before a plan is proposed."""
UNCONFIRMED_WAIT_S = 2.0
"""Time for which the plan stays unconfirmed, to show that it has no effect until then."""
COOL_DOWN_S = 3.0
"""Time for which callers send requests after the plan has ended."""
CONFIGURATION_TIMEOUT_S = 8.0
PLAN_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
TIMELINE_NAME = "shallotworks-demo-timeline.json"
EXIT_NO_VIOLATIONS = 0
EXIT_VIOLATIONS = 1


def run_demo() -> int:
    """Run the demo, print its progress and its report, and write the timeline.

    Returns:
        The exit code: 0 if no guarantee was violated, otherwise 1.
    """
    console = Console(width=110, soft_wrap=True)
    with tempfile.TemporaryDirectory() as folder:
        fleet = DemoFleet(folder=Path(folder))
        fleet.start()
        try:
            report = _drain_under_load(fleet, console)
        finally:
            fleet.stop()
    timeline_path = _write_timeline(fleet)
    print_report(report, console=console, timeline_path=timeline_path)
    console.print(
        "No guarantee was violated." if report.has_no_violations else "A GUARANTEE WAS VIOLATED."
    )
    return EXIT_NO_VIOLATIONS if report.has_no_violations else EXIT_VIOLATIONS


def _drain_under_load(fleet: DemoFleet, console: Console) -> Report:
    operator = DemoOperator(port=fleet.nodes[0].operators_port, token=fleet.token)
    changes = fleet.changes()
    operator.apply(changes)
    _wait_for(lambda: _have_all_nodes_revision(fleet, len(changes)), CONFIGURATION_TIMEOUT_S)
    console.print(
        f"{len(fleet.nodes)} entry instances in {len(DATA_CENTRES)} data centres have revision"
        f" {len(changes)}; {len(fleet.workers)} workers serve."
    )
    callers = Callers(ports=[node.callers_port for node in fleet.nodes], seed=SEED)
    callers.start()
    try:
        time.sleep(WARM_UP_S)
        view, took_s, drained_runs = _drain_rack(fleet, operator, console)
        time.sleep(COOL_DOWN_S)
    finally:
        callers.stop()
        operator.close()
    drained = _drained_workers(fleet)
    late_work = sum(worker.status().counts.runs for worker in drained) - drained_runs
    return make_report(
        ledger=callers.ledger,
        workers=fleet.workers,
        late_work=late_work,
        measures=view.plan.measures,
        took_s=took_s,
    )


def _drain_rack(
    fleet: DemoFleet, operator: DemoOperator, console: Console
) -> tuple[PlanView, float, int]:
    """Propose a plan to drain the rack, confirm it after a pause and wait for its end.

    Returns:
        The plan, its duration in seconds, and the number of requests that the drained workers had
        run when it ended.

    Raises:
        RuntimeError: Instances were cordoned before the plan was confirmed.
        TimeoutError: The plan ran for more than `PLAN_TIMEOUT_S`.
    """
    rack = InRack(data_centre=DATA_CENTRES[0], rack=DRAINED_RACK)
    proposed = operator.propose(Drain(selection=rack))
    console.print("\nThe operator submits an intent and gets a plan:\n")
    console.print(render_plan(proposed.plan), highlight=False, markup=False)
    time.sleep(UNCONFIRMED_WAIT_S)
    cordoned = _cordoned_instances(operator)
    console.print(
        f"{UNCONFIRMED_WAIT_S:g} s later, before confirmation: {len(cordoned)} instances cordoned,"
        f" revision {operator.status().revision} unchanged."
    )
    if cordoned:
        raise RuntimeError("instances were cordoned before the plan was confirmed")
    operator.confirm(proposed.plan.digest)
    started_s = time.monotonic()
    console.print("Confirmed. Callers keep sending requests while the rack is drained ...")
    _wait_for(
        lambda: _state_of(operator.plan(proposed.plan.digest)) is not PlanState.RUNNING,
        PLAN_TIMEOUT_S,
    )
    took_s = time.monotonic() - started_s
    view = operator.plan(proposed.plan.digest)
    drained_runs = sum(worker.status().counts.runs for worker in _drained_workers(fleet))
    console.print(
        f"The plan is {view.stage} after {took_s:.1f} s;"
        f" cordoned: {', '.join(_cordoned_instances(operator))}.\n"
    )
    return view, took_s, drained_runs


def _state_of(view: PlanView) -> PlanState | None:
    return view.record.state if view.record is not None else None


def _have_all_nodes_revision(fleet: DemoFleet, revision: int) -> bool:
    return all(node.config.revision() >= revision for node in fleet.nodes)


def _cordoned_instances(operator: DemoOperator) -> list[str]:
    instances = operator.instances().instances
    return [entry.name for entry in instances if entry.condition is Condition.CORDONED]


def _drained_workers(fleet: DemoFleet) -> list[WorkerStandIn]:
    prefix = f"{DATA_CENTRES[0]}-{DRAINED_RACK}-"
    return [worker for worker in fleet.workers if worker.name.startswith(prefix)]


def _wait_for(condition: Callable[[], bool], timeout_s: float) -> None:
    ends_at_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_at_s:
            raise TimeoutError(f"condition not met within {timeout_s:g} s")
        time.sleep(POLL_INTERVAL_S)


def _write_timeline(fleet: DemoFleet) -> str:
    """Write the merged events of all entry instances as a Chrome trace; return its path."""
    events = [event for node in fleet.nodes for event in node.timeline.events()]
    path = Path(tempfile.gettempdir()) / TIMELINE_NAME
    path.write_bytes(to_chrome_trace(merge(events)))
    return str(path)
