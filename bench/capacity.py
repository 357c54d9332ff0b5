"""Slopes for docs/CAPACITY.md: cost by the number of peers and data centres and by fleet size.

Writes all figures to ``bench/results/capacity.json``. Takes about ten minutes.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from bench._capacity_instance import instance_cost
from bench._capacity_peers import cost_by_data_centres, cost_by_mesh_peers, fleet_cost
from bench._capacity_state import state_cost, timeline_bytes, window_cost
from bench._fit import fit
from bench._peer_nodes import Cost

__all__ = ["main"]

RESULTS = Path(__file__).parent / "results" / "capacity.json"
MESH_PEER_COUNTS = (2, 4, 9, 18, 36)
DATA_CENTRE_COUNTS = (3, 6, 12, 21, 42)
FLEET_SIZES = ((5, 2), (8, 4), (11, 5), (22, 5), (22, 10))
INSTANCE_COUNTS = (100, 275, 550, 1_100, 2_200)
EVENT_COUNTS = (2_500, 5_000, 10_000, 20_000)
INSTANCE_WINDOW_S = 20.0
WINDOW_ENTRIES = (125, 250, 500, 1_000)

PEER_FIELDS = (
    "core_part",
    "payload_bytes_per_s",
    "wire_bytes_per_s",
    "wire_bytes_per_s_and_peer",
    "memory_bytes",
)
STATE_FIELDS = (
    "memory_bytes",
    "snapshot_bytes",
    "encode_s",
    "decode_s",
    "apply_s",
    "entry_s",
    "plan_s",
    "plan_all_s",
    "dispatch_s",
)
FLEET_FIELDS = ("store_calls_per_s", "idle_bytes_per_s", "bytes_per_change", "last_p50_s")

_Row = dict[str, Any]


def main() -> None:
    """Measure everything; print and store the rows and the fitted lines."""
    results: dict[str, Any] = {}
    measure_state(results)
    measure_peers(results)
    write(results)


def measure_state(results: dict[str, Any]) -> None:
    """Measure the cost of the configuration in one process by fleet size."""
    _add_results(
        results, "state", "instances", [asdict(state_cost(size)) for size in INSTANCE_COUNTS]
    )
    _add_results(
        results, "window", "entries", [asdict(window_cost(size)) for size in WINDOW_ENTRIES]
    )
    lines = [{"events": size, "memory_bytes": timeline_bytes(size)} for size in EVENT_COUNTS]
    _add_results(results, "time line", "events", lines)


def measure_peers(results: dict[str, Any]) -> None:
    """Measure the cost of one process by its peers, and of whole fleets."""
    instance = asdict(instance_cost(INSTANCE_WINDOW_S))
    results["instance"] = instance
    print("-- one idle entry instance, whole\n  ", _line(instance))
    mesh = [_peer_row(size, asyncio.run(cost_by_mesh_peers(size))) for size in MESH_PEER_COUNTS]
    _add_results(results, "mesh", "peers", mesh)
    remote = [
        _peer_row(size, asyncio.run(cost_by_data_centres(size))) for size in DATA_CENTRE_COUNTS
    ]
    _add_results(results, "data centres", "peers", remote)
    fleets = [
        asdict(asyncio.run(fleet_cost(data_centres=centres, per_data_centre=per_data_centre)))
        for centres, per_data_centre in FLEET_SIZES
    ]
    _add_results(results, "fleet", "nodes", fleets)


def write(results: dict[str, Any]) -> None:
    """Write all figures to the results file."""
    RESULTS.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")


def _peer_row(size: int, cost: Cost) -> _Row:
    """Return one row, also with bytes per peer: a heartbeat grows with the members it lists."""
    bytes_per_peer = cost.wire_bytes_per_s / size
    return {"peers": size, **asdict(cost), "wire_bytes_per_s_and_peer": bytes_per_peer}


def _line(row: _Row) -> str:
    return "  ".join(f"{key}={value:.6g}" for key, value in row.items())


def _add_results(results: dict[str, Any], name: str, by: str, rows: Sequence[_Row]) -> None:
    fields = [field for field in (*PEER_FIELDS, *STATE_FIELDS, *FLEET_FIELDS) if field in rows[0]]
    lines = {}
    for field in dict.fromkeys(fields):
        lines[field] = asdict(fit([(row[by], row[field]) for row in rows]))
    results[name] = {"by": by, "rows": list(rows), "lines": lines}
    print(f"-- {name} by {by}")
    for row in rows:
        print("  ", _line(row))
    for field, line in lines.items():
        print(
            f"   {field}: {line['intercept']:.6g} + {line['slope']:.6g} * {by},"
            f" residual {100 * line['residual']:.1f}%",
            flush=True,
        )


if __name__ == "__main__":
    main()
