"""A fleet of real processes on the loopback interface, for whole-system failure tests.

The platform and the workers are stand-ins in the test's process, so that a test can inject faults
and read their counters. Each entry instance is a ``shallotworks serve`` process.
"""

from __future__ import annotations

import contextlib
import os
import secrets
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import urllib3

from shallotworks.demo import DemoOperator
from shallotworks.standins import PlatformStandIn, WorkerStandIn, describe_fleet, free_ports

DATA_CENTRES = ("bergen", "forde")
RACKS = ("r1", "r2")
SERVICES = ("traces", "orders")
SLOTS_PER_WORKER = 8
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
CONDITION_POLL_S = 0.05

SETTINGS = """
[instance]
name = {name}
data_centre = {data_centre}
region = vestland
[callers]
port = {callers_port}
threads = 48
[operators]
port = {operators_port}
token_file = operators.token
[peers]
port = {peers_port}
key_file = peers.key
seeds = {seeds}
heartbeat_interval_s = 0.5
suspect_after_s = 1.5
remove_after_s = 5
[platform]
address = {platform}
timeout_s = 1
calls_per_s = 200
[requests]
attempt_timeout_s = 3
default_deadline_s = 8
[plans]
lease_ttl_s = 2
drain_timeout_s = 20
reboot_timeout_s = 20
settle_s = 0.5
[log]
stop_timeout_s = 10
"""


class Entry:
    """One entry instance that runs as a process.

    Args:
        name: Name of the instance.
        data_centre: Name of its data centre.
        ports: Ports for callers, operators and peers.
    """

    def __init__(self, *, name: str, data_centre: str, ports: Sequence[int]) -> None:
        self.name = name
        self.data_centre = data_centre
        self.callers_port, self.operators_port, self.peers_port = ports
        self._process: subprocess.Popen[bytes] | None = None
        self._settings = Path()

    def write_settings(self, folder: Path, *, seeds: str, platform: str) -> None:
        """Write the settings file of the instance."""
        self._settings = folder / f"{self.name}.ini"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                data_centre=self.data_centre,
                callers_port=self.callers_port,
                operators_port=self.operators_port,
                peers_port=self.peers_port,
                seeds=seeds,
                platform=platform,
            )
        )

    def start(self) -> None:
        """Start the process without waiting; see `wait_serving`."""
        command = [sys.executable, "-m", "shallotworks", "serve", "--settings"]
        self._process = subprocess.Popen(
            [*command, str(self._settings)], stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )

    def wait_serving(self) -> None:
        """Wait until the instance accepts requests."""
        url = f"http://127.0.0.1:{self.callers_port}/.shallotworks/health"

        def is_healthy() -> bool:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                answer = urllib3.request("GET", url, retries=False, timeout=1.0)
                return answer.status == 200
            return False

        wait_for(is_healthy, START_TIMEOUT_S)

    def signal(self, number: int) -> None:
        """Send a signal to the process of this instance."""
        assert self._process is not None
        os.kill(self._process.pid, number)

    def stop(self) -> int:
        """Stop the process gracefully, and return its exit code."""
        if self._process is None:
            return 0
        if self._process.poll() is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGTERM)
        code = self._process.wait(timeout=STOP_TIMEOUT_S)
        self._process = None
        return code

    def kill(self) -> None:
        """Kill the process at once, as a failing machine does."""
        self.signal(signal.SIGKILL)
        assert self._process is not None
        self._process.wait(timeout=STOP_TIMEOUT_S)
        self._process = None


class System:
    """Data centres with two entry instances and four workers each.

    Args:
        folder: Directory for the settings, the token and the key.
        data_centres: Names of the data centres.
    """

    def __init__(self, *, folder: Path, data_centres: Sequence[str] = DATA_CENTRES) -> None:
        self.token = secrets.token_hex(24)
        (folder / "operators.token").write_text(self.token)
        (folder / "peers.key").write_text(secrets.token_hex(48))
        self.platform = PlatformStandIn(threads=96, watch_threads=48)
        self.platform.start()
        self.workers = [
            WorkerStandIn(
                name=f"{data_centre}-{rack}-{service}", slots=SLOTS_PER_WORKER, reboot_s=0.5
            )
            for data_centre in data_centres
            for rack in RACKS
            for service in SERVICES
        ]
        for worker in self.workers:
            worker.start()
        ports = free_ports(6 * len(data_centres))
        self.entries = [
            Entry(
                name=f"{data_centre}-entry-{number}",
                data_centre=data_centre,
                ports=[ports.pop() for _ in range(3)],
            )
            for data_centre in data_centres
            for number in (1, 2)
        ]
        for entry in self.entries:
            others = [each for each in self.entries if each is not entry]
            seeds = ", ".join(f"127.0.0.1:{each.peers_port}" for each in others)
            entry.write_settings(folder, seeds=seeds, platform=self.platform.address)

    def start(self) -> None:
        """Start the entry instances and wait until all hold the fleet's configuration."""
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            entry.wait_serving()
        changes = describe_fleet(self.workers)
        with self.operator(self.entries[0]) as operator:
            operator.apply(changes)
        for entry in self.entries:
            self.wait_revision(entry, len(changes))

    def stop(self) -> None:
        """Stop all processes; a stopped worker ends its silence, so that held requests finish."""
        for entry in self.entries:
            entry.stop()
        for worker in self.workers:
            worker.stop()
        self.platform.stop()

    @contextlib.contextmanager
    def operator(self, entry: Entry) -> Iterator[DemoOperator]:
        """Yield an operator connected to one entry instance."""
        operator = DemoOperator(port=entry.operators_port, token=self.token)
        try:
            yield operator
        finally:
            operator.close()

    def wait_revision(self, entry: Entry, revision: int, timeout_s: float = 8.0) -> None:
        """Wait until an entry instance holds a revision."""
        with self.operator(entry) as operator:
            wait_for(lambda: operator.status().revision >= revision, timeout_s)


@contextlib.contextmanager
def running_system(data_centres: Sequence[str] = DATA_CENTRES) -> Iterator[System]:
    """Yield a started system, and stop it afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        system = System(folder=Path(folder), data_centres=data_centres)
        try:
            system.start()
            yield system
        finally:
            system.stop()


def wait_for(condition: Callable[[], bool], timeout_s: float) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    ends_at_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_at_s:
            raise TimeoutError(f"not reached within {timeout_s:g} s")
        time.sleep(CONDITION_POLL_S)
