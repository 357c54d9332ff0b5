"""Processes for `bench.relay`: the platform stand-in, and one entry instance with one target.

``python -m bench._entry platform`` and ``python -m bench._entry serve ...`` print their port, then
run until standard input ends.
"""

from __future__ import annotations

import argparse
import asyncio
import secrets
import socket
import sys
import tempfile
from pathlib import Path

from shallotworks.fleet import (
    Change,
    DataCentre,
    Instance,
    Pool,
    PutDataCentre,
    PutInstance,
    PutPool,
    PutService,
    Service,
)
from shallotworks.node import Node
from shallotworks.settings import parse_settings
from shallotworks.standins import PlatformStandIn

THREADS = 64

_SETTINGS = """
[instance]
name = bench-entry
data_centre = bergen
region = vestland
[callers]
port = 0
threads = {threads}
[operators]
port = 0
token_file = {folder}/token
[peers]
port = {peers_port}
key_file = {folder}/key
[platform]
address = 127.0.0.1:{platform_port}
"""


def serve_platform() -> None:
    """Run the platform stand-in until standard input ends."""
    platform = PlatformStandIn()
    platform.start()
    print(platform.address.rpartition(":")[2], flush=True)
    sys.stdin.read()
    platform.stop()


async def serve_entry(platform_port: int, target_port: int) -> None:
    """Run one entry instance with one service and one target until standard input ends."""
    with tempfile.TemporaryDirectory() as folder:
        for name in ("token", "key"):
            (Path(folder) / name).write_text(secrets.token_hex(32))
        with socket.create_server(("127.0.0.1", 0)) as probe:
            peers_port = probe.getsockname()[1]
        text = _SETTINGS.format(
            threads=THREADS, folder=folder, peers_port=peers_port, platform_port=platform_port
        )
        node = Node(settings=parse_settings(text, path=f"{folder}/bench.ini").unwrap())
    await node.start()
    if node.config.revision() == 0:
        for change in _fleet(target_port):
            (await node.config.propose(change, author="bench")).unwrap()
    print(node.callers_port, flush=True)
    await asyncio.to_thread(sys.stdin.read)
    await node.stop()


def _fleet(target_port: int) -> tuple[Change, ...]:
    return (
        PutDataCentre(data_centre=DataCentre(name="bergen", region="vestland")),
        PutPool(pool=Pool(name="bench")),
        PutService(service=Service(name="bench", pool="bench", share=1.0, max_unavailable=1)),
        PutInstance(
            instance=Instance(
                name="target",
                data_centre="bergen",
                rack="r1",
                pool="bench",
                address=f"127.0.0.1:{target_port}",
                slots=THREADS,
            )
        ),
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=["platform", "serve"])
    parser.add_argument("--platform-port", type=int, default=0)
    parser.add_argument("--target-port", type=int, default=0)
    arguments = parser.parse_args()
    if arguments.what == "platform":
        serve_platform()
    else:
        asyncio.run(serve_entry(arguments.platform_port, arguments.target_port))
