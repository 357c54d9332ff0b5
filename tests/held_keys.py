"""Held keys for tests."""

import asyncio

from shallotworks.jobs import JobKeys
from shallotworks.store import Holder, HolderTimes, Store
from tests.scheduling_fakes import quiet_log

SERVICE = "antenna"
DUTY = "duty/antenna"


async def acquire(store: Store, *, times: HolderTimes | None = None) -> Holder:
    """Return the holder of a duty's key, which is free."""
    holder = await Holder.acquire(
        store=store,
        key=DUTY,
        mark=JobKeys(service=SERVICE).holder_mark,
        value=b"n0",
        clock=asyncio.get_running_loop().time,
        times=times or HolderTimes(),
        log=quiet_log(),
    )
    assert holder is not None
    return holder
