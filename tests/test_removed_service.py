"""An instance bids on for a service that a configuration removed and added again."""

import asyncio
import contextlib
import random
import unittest

from parameterized import parameterized

from shallotworks.scheduling import LeaderElector
from shallotworks.standins import FaultInjectingStore, RecordStore
from shallotworks.store import HeldLease, LeaseTiming
from tests.scheduling_fakes import quiet_log
from tests.virtual_clock import run_scenario

SERVICE = "a"
SETTLE_S = 2.0
AWAY_S = 0.3


class RemovedServiceTests(unittest.TestCase):
    @parameterized.expand([("short", 0.5), ("longer_than_its_key", 4.0)])
    def test_the_next_lease_outlives_the_hand_over_of_the_last(
        self, _name: str, hand_over_s: float
    ) -> None:
        """An instance forgets the lease that it holds, and bids for its service no more.

        The hand-over of its last epoch outlasts the key, so that the next one has begun.
        """

        async def scenario() -> None:
            store = RecordStore(rng=random.Random(1))
            leases: list[HeldLease] = []

            async def run_epoch(_service: str, lease: HeldLease) -> None:
                leases.append(lease)
                is_first = len(leases) == 1
                renewing = asyncio.create_task(lease.renew_until_lost())
                await lease.lost_event.wait()
                renewing.cancel()
                if is_first:
                    await asyncio.sleep(hand_over_s)

            elector = LeaderElector(
                store=FaultInjectingStore(store=store),
                key_prefix="duty/",
                marker_key_of=lambda service: f"m/{service}",
                instance="n1",
                run_epoch=run_epoch,
                clock=asyncio.get_running_loop().time,
                timing=LeaseTiming(),
                log=quiet_log(),
            )
            watching = asyncio.create_task(elector.run())
            for services, wait_s in (
                ({SERVICE}, SETTLE_S),
                (set[str](), AWAY_S),
                ({SERVICE}, hand_over_s + SETTLE_S),
            ):
                elector.set_services(services)
                await asyncio.sleep(wait_s)
            self.assertEqual([SERVICE], elector.held_services())
            epochs = len(leases)
            store.revoke_lease(store.items[f"duty/{SERVICE}"].lease_id)
            await asyncio.sleep(SETTLE_S)
            self.assertEqual(epochs + 1, len(leases))
            with contextlib.suppress(TimeoutError):
                await elector.stop()
            watching.cancel()

        run_scenario(scenario())


if __name__ == "__main__":
    unittest.main()
