"""The configuration of a fleet of worker stand-ins, and free ports, for the demo and tests."""

from __future__ import annotations

import itertools
import random
import socket
from collections.abc import Sequence

from shallotworks.fleet import (
    Change,
    DataCentre,
    Instance,
    Pool,
    PutDataCentre,
    PutInstance,
    PutPool,
    PutService,
    PutTeam,
    Service,
    Team,
)

from ._worker import WorkerStandIn

__all__ = ["TEAM", "describe_fleet", "free_ports"]

REGION = "vestland"
TEAM = "crews"
MIN_PORT = 20_000
PORT_RANGE_END = 32_000
CANDIDATE_PORT_COUNT = 200


def describe_fleet(workers: Sequence[WorkerStandIn]) -> tuple[Change, ...]:
    """Return the configuration changes that describe these workers.

    Args:
        workers: Workers named ``DATA_CENTRE-RACK-SERVICE``. Each service has a pool of the same
            name and a disruption budget of one instance.
    """
    names = [worker.name.split("-") for worker in workers]
    places = [
        PutDataCentre(data_centre=DataCentre(name=place, region=REGION))
        for place in sorted({name[0] for name in names})
    ]
    services = sorted({name[2] for name in names})
    slots = sum(worker.slots for worker in workers)
    return (
        *places,
        *(PutPool(pool=Pool(name=service)) for service in services),
        *(
            PutService(service=Service(name=service, pool=service, share=1.0, max_unavailable=1))
            for service in services
        ),
        PutTeam(team=Team(name=TEAM, quota_slots=slots)),
        *map(_put_worker, workers),
    )


def free_ports(count: int) -> list[int]:
    """Return ports that are free now, for peers that need each other's ports before they listen.

    The ports lie below the range from which Linux assigns ports to outgoing connections.
    Otherwise an outgoing connection could take a port before the peer listens on it.
    """
    candidate_ports = random.sample(range(MIN_PORT, PORT_RANGE_END), k=CANDIDATE_PORT_COUNT)
    return list(itertools.islice(filter(_is_free, candidate_ports), count))


def _is_free(port: int) -> bool:
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


def _put_worker(worker: WorkerStandIn) -> PutInstance:
    data_centre, rack, service = worker.name.split("-")
    return PutInstance(
        instance=Instance(
            name=worker.name,
            data_centre=data_centre,
            rack=rack,
            pool=service,
            address=worker.address,
            slots=worker.slots,
        )
    )
