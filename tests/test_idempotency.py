"""Tests of `shallotworks.requests.StoreIdempotencyGuard`: at most one run per key."""

import asyncio
import itertools
import unittest
from dataclasses import dataclass, field

from parameterized import parameterized
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure, Ran, attributes_of
from shallotworks.metrics import Metrics
from shallotworks.requests import Claim, IdempotencyLimits, Request, Response, StoreIdempotencyGuard
from shallotworks.standins import MemoryStore, StoreFaults
from tests.dispatch_fakes import make_request, run_on_virtual_clock

DAY_S = 86_400.0
ORDER_RESPONSE = Response(status=201, headers=(("x", "1"),), body=b"two tubes")


class LateCreateStore(MemoryStore):
    """A store in which a create gets no answer and takes effect later.

    Attributes:
        late_s: Time after which a create takes effect; 0 for at once, with an answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.late_s = 0.0

    async def create(self, key: str, value: bytes, *, lease_id: str = "") -> Result[int, Failure]:
        if not self.late_s:
            return await super().create(key, value, lease_id=lease_id)
        loop = asyncio.get_running_loop()
        loop.call_later(self.late_s, self._create, key, value, lease_id)
        await asyncio.Event().wait()
        raise AssertionError("the caller waits for ever")


@dataclass(slots=True, kw_only=True)
class SharedStore:
    """A store and the processes that use it."""

    store: MemoryStore = field(default_factory=MemoryStore)
    live: set[str] = field(default_factory=set)
    ids: itertools.count = field(default_factory=lambda: itertools.count(1))

    def process(self, name: str) -> StoreIdempotencyGuard:
        self.live.add(name)
        return StoreIdempotencyGuard(
            store=self.store,
            process=name,
            is_live=self.live.__contains__,
            new_id=lambda: f"id-{next(self.ids)}",
            limits=IdempotencyLimits(answer_max_bytes=100),
            metrics=Metrics(),
        )


def make_order(body: bytes = b"order") -> Request:
    return make_request(
        "r",
        "parts",
        idempotent=False,
        key="k1",
        team="crew",
        body=body,
        deadline_s=asyncio.get_running_loop().time() + 10.0,
    )


async def claim_other_key(guard: StoreIdempotencyGuard) -> None:
    """Claim another key, so that the process has its lease and the next claim is one write."""
    await guard.claim(make_request("r0", "parts", key="warm", idempotent=False))


async def claim_while_store_goes_down(
    shared: SharedStore, guard: StoreIdempotencyGuard
) -> Result[Claim, Failure]:
    """Claim the key; its acknowledgement is lost and the store is down until the claim fails."""
    shared.store.set_faults(StoreFaults(delay_s=1.0, lost_answers=1))
    claiming = asyncio.create_task(guard.claim(make_order()))
    await asyncio.sleep(0.75)
    shared.store.set_faults(StoreFaults(down=True))
    outcome = await claiming
    shared.store.set_faults(StoreFaults())
    return outcome


def may_run(outcome: Result[Claim, Failure]) -> bool:
    return isinstance(outcome, Success) and outcome.unwrap().stored is None


def kind_of(outcome: Result[Claim, Failure]) -> ErrorKind:
    return outcome.failure().kind


class IdempotencyTests(unittest.TestCase):
    def test_answered_key_gives_the_first_answer_anywhere(self) -> None:
        """A repeat through another instance gets the first answer and does not run.

        The first run costs a create and a compare-and-swap besides the lease.
        """

        async def scenario() -> None:
            shared = SharedStore()
            first, second = shared.process("e1"), shared.process("e2")
            claim = (await first.claim(make_order())).unwrap()
            await first.complete_claim(claim, ORDER_RESPONSE)
            self.assertEqual(
                shared.store.calls, {"grant_lease": 1, "create": 1, "swap": 1}, "calls of one run"
            )
            again = (await second.claim(make_order())).unwrap()
            self.assertEqual(again.stored, ORDER_RESPONSE)

        run_on_virtual_clock(scenario)

    def test_same_key_at_once_runs_once(self) -> None:
        """Of concurrent claims through two instances, exactly one may run."""

        async def scenario() -> None:
            shared = SharedStore()
            guards = [shared.process("e1"), shared.process("e2")]
            outcomes = await asyncio.gather(*(guards[n % 2].claim(make_order()) for n in range(20)))
            self.assertEqual(sum(map(may_run, outcomes)), 1)
            others = {kind_of(o) for o in outcomes if not isinstance(o, Success)}
            self.assertEqual(others, {ErrorKind.IN_PROGRESS})

        run_on_virtual_clock(scenario)

    def test_different_request_under_the_key_is_refused(self) -> None:
        """A key that is used with a different body is a conflict, and nothing runs."""

        async def scenario() -> None:
            shared = SharedStore()
            guard = shared.process("e1")
            await guard.claim(make_order())
            self.assertIs(kind_of(await guard.claim(make_order(b"other"))), ErrorKind.CONFLICT)

        run_on_virtual_clock(scenario)

    def test_claim_whose_acknowledgement_was_lost_holds(self) -> None:
        """A create whose acknowledgement was lost holds: the record has the claim's own id.

        Assuming failure would refuse a valid run; assuming success could allow two.
        """

        async def scenario() -> None:
            shared = SharedStore()
            shared.store.set_faults(StoreFaults(lost_answers=0))
            guard = shared.process("e1")
            await claim_other_key(guard)
            shared.store.set_faults(StoreFaults(lost_answers=1))
            claim = await guard.claim(make_order())
            self.assertTrue(may_run(claim))
            await guard.complete_claim(claim.unwrap(), ORDER_RESPONSE)
            self.assertEqual((await guard.claim(make_order())).unwrap().stored, ORDER_RESPONSE)

        run_on_virtual_clock(scenario)

    @parameterized.expand([("running", None), ("marked", "mark_outcome_unknown")])
    def test_key_of_a_dead_owner_never_runs_again(self, _name: str, last_act: str | None) -> None:
        """After its owner crashed, a request may have run; the key stays at unknown outcome."""

        async def scenario() -> None:
            shared = SharedStore()
            first, second = shared.process("e1"), shared.process("e2")
            claim = (await first.claim(make_order())).unwrap()
            self.assertIs(kind_of(await second.claim(make_order())), ErrorKind.IN_PROGRESS)
            if last_act:
                await getattr(first, last_act)(claim)
            shared.live.discard("e1")
            for _ in range(3):
                kind = kind_of(await second.claim(make_order()))
                self.assertIs(kind, ErrorKind.OUTCOME_UNKNOWN)
                await asyncio.sleep(DAY_S / 4)

        run_on_virtual_clock(scenario)

    def test_claim_is_refused_while_the_store_is_down(self) -> None:
        """Without the store a claim is refused as not run; afterwards the key may run."""

        async def scenario() -> None:
            shared = SharedStore()
            guard = shared.process("e1")
            shared.store.set_faults(StoreFaults(down=True))
            kind = kind_of(await guard.claim(make_order()))
            self.assertIs(kind, ErrorKind.STORE_UNAVAILABLE)
            self.assertIs(attributes_of(kind).ran, Ran.NO)
            shared.store.set_faults(StoreFaults())
            self.assertTrue(may_run(await guard.claim(make_order())))

        run_on_virtual_clock(scenario)

    def test_claim_written_before_the_store_went_down_does_not_block_the_key(self) -> None:
        """A refused claim whose record was written must not block the key from one later run."""

        async def scenario() -> None:
            shared = SharedStore()
            first, second = shared.process("e1"), shared.process("e2")
            await claim_other_key(first)
            lost = await claim_while_store_goes_down(shared, first)
            self.assertIs(kind_of(lost), ErrorKind.STORE_UNAVAILABLE)
            await first.reconcile()
            outcomes = await asyncio.gather(first.claim(make_order()), second.claim(make_order()))
            self.assertEqual(sum(map(may_run, outcomes)), 1)

        run_on_virtual_clock(scenario)

    def test_stale_read_does_not_take_a_key_from_its_new_holder(self) -> None:
        """A stale read of its own deleted record must not let a process take over the key."""

        async def scenario() -> None:
            shared = SharedStore()
            first, second = shared.process("e1"), shared.process("e2")
            claim = (await first.claim(make_order())).unwrap()
            await claim_other_key(second)
            # The answer to the deletion is lost, and reads are stale after a failover.
            shared.store.set_faults(StoreFaults(stale=True, lost_answers=1))
            await first.release_claim(claim)
            self.assertTrue(may_run(await second.claim(make_order())))
            self.assertIs(kind_of(await first.claim(make_order())), ErrorKind.IN_PROGRESS)

        run_on_virtual_clock(scenario)

    def test_process_takes_over_its_own_unused_record(self) -> None:
        """A process may claim a key again whose unused record it has not deleted yet.

        That record is older than the newest version that the process has seen.
        """

        async def scenario() -> None:
            shared = SharedStore()
            guard = shared.process("e1")
            await claim_other_key(guard)
            lost = await claim_while_store_goes_down(shared, guard)
            self.assertIs(kind_of(lost), ErrorKind.STORE_UNAVAILABLE)
            await guard.claim(make_request("r1", "parts", key="other", idempotent=False))
            self.assertTrue(may_run(await guard.claim(make_order())))
            self.assertIs(kind_of(await guard.claim(make_order())), ErrorKind.IN_PROGRESS)

        run_on_virtual_clock(scenario)

    @parameterized.expand(
        [
            (f"{how}, {what}", how, delay_s)
            for how in ("deadline", "hang up")
            for what, delay_s in (("no effect", 30.0), ("took effect", 15.0))
        ]
    )
    def test_store_is_slower_than_the_caller_waits(
        self, _name: str, how: str, delay_s: float
    ) -> None:
        """A claim that outlasts its caller's wait is refused as not run.

        The key becomes free again whether or not the create took effect.
        """

        async def scenario() -> None:
            shared = SharedStore()
            first, second = shared.process("e1"), shared.process("e2")
            await claim_other_key(first)
            shared.store.set_faults(StoreFaults(delay_s=delay_s))
            claiming = asyncio.create_task(first.claim(make_order()))
            await asyncio.sleep(9.9)
            if how == "hang up":
                claiming.cancel()
            await asyncio.sleep(0.2)
            self.assertTrue(claiming.done())
            if how == "deadline":
                self.assertIs(kind_of(await claiming), ErrorKind.STORE_UNAVAILABLE)
            shared.store.set_faults(StoreFaults())
            await first.reconcile()
            self.assertTrue(may_run(await second.claim(make_order())))

        run_on_virtual_clock(scenario)

    @parameterized.expand([("soon", 1.0), ("seconds later", 8.0)])
    def test_a_create_that_takes_effect_late_does_not_block_its_key(
        self, _name: str, late_s: float
    ) -> None:
        """Guards against a key that stays claimed for its whole window, though nothing ran."""

        async def scenario() -> None:
            shared = SharedStore(store=LateCreateStore())
            first, second = shared.process("e1"), shared.process("e2")
            await claim_other_key(first)
            shared.store.late_s = 10.0 + late_s
            self.assertIs(kind_of(await first.claim(make_order())), ErrorKind.STORE_UNAVAILABLE)
            shared.store.late_s = 0.0
            running = asyncio.create_task(first.run())
            await asyncio.sleep(0.5)
            await first.reconcile()
            await asyncio.sleep(120.0)
            self.assertTrue(may_run(await second.claim(make_order())))
            running.cancel()

        run_on_virtual_clock(scenario)

    def test_late_deletion_spares_the_next_claim(self) -> None:
        """The pending deletion of a create without effect must not delete the next claim.

        Otherwise a third process could run the request again.
        """

        async def scenario() -> None:
            shared = SharedStore()
            first, second, third = (shared.process(name) for name in ("e1", "e2", "e3"))
            await claim_other_key(first)
            before = shared.store.version
            lost = await claim_while_store_goes_down(shared, first)
            self.assertIs(kind_of(lost), ErrorKind.STORE_UNAVAILABLE)
            shared.store.roll_back_to(before)
            self.assertTrue(may_run(await second.claim(make_order())))
            await first.reconcile()
            self.assertIs(kind_of(await third.claim(make_order())), ErrorKind.IN_PROGRESS)

        run_on_virtual_clock(scenario)

    def test_store_is_down_when_the_run_ends(self) -> None:
        """An answer that is not stored yet is returned by its process; once stored, by any."""

        async def scenario() -> None:
            shared = SharedStore()
            first, second = shared.process("e1"), shared.process("e2")
            claim = (await first.claim(make_order())).unwrap()
            shared.store.set_faults(StoreFaults(down=True))
            await first.complete_claim(claim, ORDER_RESPONSE)
            self.assertEqual((await first.claim(make_order())).unwrap().stored, ORDER_RESPONSE)
            self.assertIs(kind_of(await first.claim(make_order(b"other"))), ErrorKind.CONFLICT)
            shared.store.set_faults(StoreFaults())
            self.assertEqual((await first.claim(make_order())).unwrap().stored, ORDER_RESPONSE)
            self.assertIs(kind_of(await second.claim(make_order())), ErrorKind.IN_PROGRESS)
            await first.reconcile()
            self.assertEqual((await second.claim(make_order())).unwrap().stored, ORDER_RESPONSE)

        run_on_virtual_clock(scenario)

    def test_unknown_outcome_is_kept_while_the_store_is_down(self) -> None:
        """A run of unknown outcome whose record still says "claimed" must not count as not run."""

        async def scenario() -> None:
            shared = SharedStore()
            guard = shared.process("e1")
            claim = (await guard.claim(make_order())).unwrap()
            shared.store.set_faults(StoreFaults(down=True))
            await guard.mark_outcome_unknown(claim)
            shared.store.set_faults(StoreFaults())
            self.assertIs(kind_of(await guard.claim(make_order())), ErrorKind.OUTCOME_UNKNOWN)
            await guard.reconcile()
            self.assertIs(kind_of(await guard.claim(make_order())), ErrorKind.OUTCOME_UNKNOWN)

        run_on_virtual_clock(scenario)

    def test_released_key_may_be_claimed_again(self) -> None:
        """A key whose request is known not to have run may be claimed by any process."""

        async def scenario() -> None:
            shared = SharedStore()
            first, second = shared.process("e1"), shared.process("e2")
            await first.release_claim((await first.claim(make_order())).unwrap())
            self.assertTrue(may_run(await second.claim(make_order())))

        run_on_virtual_clock(scenario)

    def test_large_answer_is_not_kept(self) -> None:
        """A repeat of a request whose answer exceeds the size limit is refused and does not run."""

        async def scenario() -> None:
            shared = SharedStore()
            guard = shared.process("e1")
            claim = (await guard.claim(make_order())).unwrap()
            await guard.complete_claim(claim, Response(status=200, headers=(), body=b"x" * 101))
            self.assertIs(kind_of(await guard.claim(make_order())), ErrorKind.OUTCOME_UNKNOWN)

        run_on_virtual_clock(scenario)

    def test_records_end_with_the_window(self) -> None:
        """A key is kept for the whole window and expires with its lease soon after."""

        async def scenario() -> None:
            shared = SharedStore()
            guard = shared.process("e1")
            await guard.complete_claim((await guard.claim(make_order())).unwrap(), ORDER_RESPONSE)
            await asyncio.sleep(DAY_S)
            self.assertEqual((await guard.claim(make_order())).unwrap().stored, ORDER_RESPONSE)
            await asyncio.sleep(3_700)
            self.assertTrue(may_run(await guard.claim(make_order())))

        run_on_virtual_clock(scenario)

    def test_regressed_store_is_not_trusted_for_one_window(self) -> None:
        """A store restored from an older copy has lost records; a request could run twice.

        Claims are refused as not run until a whole window has passed.
        """

        async def scenario() -> None:
            shared = SharedStore()
            guard = shared.process("e1")
            await guard.complete_claim((await guard.claim(make_order())).unwrap(), ORDER_RESPONSE)
            shared.store.wipe()
            self.assertIs(kind_of(await guard.claim(make_order())), ErrorKind.STORE_REGRESSED)
            await asyncio.sleep(DAY_S + 1)
            self.assertTrue(may_run(await guard.claim(make_order())))

        run_on_virtual_clock(scenario)

    @parameterized.expand([("no other write", 0), ("as many writes as lost", 40)])
    def test_regressed_store_is_not_trusted_once_its_version_has_caught_up(
        self, _name: str, others: int
    ) -> None:
        """Guards against a request that runs twice, since a later write hid the lost record."""

        async def scenario() -> None:
            shared = SharedStore()
            guard, other = shared.process("e1"), shared.process("e2")
            await guard.complete_claim((await guard.claim(make_order())).unwrap(), ORDER_RESPONSE)
            shared.store.wipe()
            self.assertIs(kind_of(await guard.claim(make_order())), ErrorKind.STORE_REGRESSED)
            await guard.reconcile()
            for number in range(others):
                await other.claim(make_request("r", "parts", key=f"o{number}", idempotent=False))
            self.assertIs(kind_of(await guard.claim(make_order())), ErrorKind.STORE_REGRESSED)
            await asyncio.sleep(DAY_S + 1)
            self.assertTrue(may_run(await guard.claim(make_order())))

        run_on_virtual_clock(scenario)

    def test_overdue_claim_is_marked_unknown(self) -> None:
        """A claim that is never finished is marked unknown some time after its deadline."""

        async def scenario() -> None:
            shared = SharedStore()
            first, second = shared.process("e1"), shared.process("e2")
            await first.claim(make_order())
            await asyncio.sleep(60)
            await first.reconcile()
            self.assertIs(kind_of(await second.claim(make_order())), ErrorKind.OUTCOME_UNKNOWN)

        run_on_virtual_clock(scenario)
