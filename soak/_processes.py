"""One entry instance as a process of its own, controlled by signals."""

from __future__ import annotations

import asyncio
import ctypes
import os
import pathlib
import signal
import sys

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = "deploy/run.py"
CALLERS_PORT = 18624
READY_PORT = 18622
PR_SET_PDEATHSIG = 1
"""Source: the kernel's header ``linux/prctl.h``."""
RESTART_DELAY_S = 0.4
"""Time between the end of a process and its next start."""

SETTINGS = """\
nodeName = "{name}"
ip = "{ip}"
zone = "{zone}"
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
minTtlMs = 1000
[cloudApi]
address = "{machines}"
[bounds]
graceS = 6
maxHoldMs = 6000
stopTimeoutMs = 200
status_s = 120
leaseMs = 3000
"""


def _kill_with_parent() -> None:
    """Make the kernel kill this process when the soak ends for any reason.

    A killed soak would otherwise leave its processes running, and the callers of the next soak
    would reach them.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL))


class EntryProcess:
    """An entry process that is restarted whenever it ends.

    Args:
        name: Name of the instance.
        ip: Loopback address that no other process uses.
        folder: Folder for its settings and its log.
    """

    def __init__(self, *, name: str, ip: str, folder: pathlib.Path) -> None:
        self.name = name
        self.ip = ip
        self.incarnation = 0
        self.unexpected_exits: list[str] = []
        """Messages about exits that no signal of the soak explains."""
        self._folder = folder
        self._settings = folder / f"{name}.toml"
        self._process: asyncio.subprocess.Process | None = None
        self._is_exit_expected = False
        self._is_stopping = False
        self._supervisor: asyncio.Task[None] | None = None

    @property
    def callers_address(self) -> str:
        """Address that callers connect to."""
        return f"{self.ip}:{CALLERS_PORT}"

    def write_settings(self, *, store: str, machines: str) -> None:
        """Write the settings file with the addresses of the store and of the machines API."""
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone="dc-1",
                callers=CALLERS_PORT,
                ready=READY_PORT,
                store=store,
                machines=machines,
            )
        )

    def start(self) -> None:
        """Start the process, and restart it whenever it ends."""
        self._supervisor = asyncio.create_task(self._supervise())

    async def stop(self) -> None:
        """Kill the process without a restart."""
        self._is_stopping = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._supervisor is not None:
            await asyncio.wait([self._supervisor], timeout=5.0)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._is_exit_expected = True
        process.send_signal(number)

    async def terminate(self, grace_s: float) -> bool:
        """Send SIGTERM, and SIGKILL after the grace period; the process is restarted.

        Returns:
            Whether the process ended within its grace period.
        """
        process = self._process
        if process is None or process.returncode is not None:
            return True
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), grace_s)
        except TimeoutError:
            self.send(signal.SIGKILL)
            return False
        return True

    async def _supervise(self) -> None:
        while not self._is_stopping:
            self._is_exit_expected = False
            self.incarnation += 1
            with open(self._folder / f"{self.name}.log", "ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    PROGRAM,
                    cwd=REPOSITORY,
                    env={
                        "PATH": os.environ.get("PATH", ""),
                        "SHALLOTWORKS_SETTINGS": str(self._settings),
                    },
                    stdout=log,
                    stderr=log,
                    preexec_fn=_kill_with_parent,
                )
            code = await self._process.wait()
            if not self._is_exit_expected and not self._is_stopping:
                self.unexpected_exits.append(
                    f"{self.name} exited with code {code} without a signal"
                )
            await asyncio.sleep(RESTART_DELAY_S)
