"""Processor time, memory and threads of one entry instance without peers and requests."""

from __future__ import annotations

import os
import time
from dataclasses import dataclass
from pathlib import Path

from bench._processes import process

__all__ = ["InstanceCost", "instance_cost"]

WARM_UP_S = 5.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_TICKS_INDEX = 11
"""Index of the user time in ``/proc/PID/stat``, counted after the command name.

The system time is the next field.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceCost:
    """Resources that the process of one idle entry instance uses.

    Args:
        window_s: Length of the measurement.
        core_part: Processor time divided by elapsed time.
        memory_bytes: Resident memory at the end.
        threads: Threads at the end.
    """

    window_s: float
    core_part: float
    memory_bytes: int
    threads: int


def instance_cost(window_s: float) -> InstanceCost:
    """Start one entry instance with the platform stand-in, and measure it while idle."""
    with (
        process("bench._entry", "platform") as (_, platform_port),
        process("bench._entry", "serve", f"--platform-port={platform_port}") as (pid, _),
    ):
        time.sleep(WARM_UP_S)
        started_s, ticks_before = time.monotonic(), _processor_ticks(pid)
        time.sleep(window_s)
        elapsed_s = time.monotonic() - started_s
        return InstanceCost(
            window_s=window_s,
            core_part=(_processor_ticks(pid) - ticks_before) / TICKS_PER_S / elapsed_s,
            memory_bytes=_status(pid, "VmRSS") * 1024,
            threads=_status(pid, "Threads"),
        )


def _processor_ticks(pid: int) -> int:
    after_name = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return int(after_name[USER_TICKS_INDEX]) + int(after_name[USER_TICKS_INDEX + 1])


def _status(pid: int, name: str) -> int:
    lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    return int(next(line for line in lines if line.startswith(name + ":")).split()[1])
