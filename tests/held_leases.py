"""Functions with which tests acquire the lease of a key."""

import asyncio

from shallotworks.jobs import JobKeys
from shallotworks.store import HeldLease, LeaseTiming, Store
from tests.scheduling_fakes import quiet_log

SERVICE = "antenna"
LEASE_KEY = "duty/antenna"


async def try_acquire(
    store: Store,
    *,
    key: str = LEASE_KEY,
    marker_key: str = JobKeys(service=SERVICE).marker_key,
    timing: LeaseTiming | None = None,
) -> HeldLease | None:
    """Acquire a key's lease; return ``None`` if another holder has it."""
    return await HeldLease.acquire(
        store=store,
        key=key,
        marker_key=marker_key,
        value=b"n0",
        clock=asyncio.get_running_loop().time,
        timing=timing or LeaseTiming(),
        log=quiet_log(),
    )


async def acquire(
    store: Store,
    *,
    key: str = LEASE_KEY,
    marker_key: str = JobKeys(service=SERVICE).marker_key,
    timing: LeaseTiming | None = None,
) -> HeldLease:
    """Acquire the lease of a key that is free."""
    lease = await try_acquire(store, key=key, marker_key=marker_key, timing=timing)
    assert lease is not None
    return lease
