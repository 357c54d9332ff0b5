"""Tests of `shallotworks.peers`, in particular under failures of peers, links and data centres."""

import asyncio
import socket
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from shallotworks.config import Entry, Snapshot
from shallotworks.fleet import FleetState, PlanRecord
from shallotworks.peers import PeerTiming, TcpTransport
from shallotworks.protocol import FleetKeys, ServiceLoad
from shallotworks.timeline import EventKind

from .peer_fakes import Fleet, RecordingReplica, run_on_virtual_clock

CONVERGENCE_TIMEOUT_S = 8.0


def with_fleet(
    **sizes: int,
) -> Callable[[Callable[..., Coroutine[Any, Any, None]]], Callable[..., None]]:
    """Run a test on a connected fleet, and stop the fleet after it."""

    def wrap(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
        async def main(case: unittest.TestCase, *given_values: Any) -> None:
            fleet = Fleet(sizes=sizes)
            await fleet.start()
            await test(case, fleet, *given_values)
            await fleet.stop()

        def run(case: unittest.TestCase, *given_values: Any) -> None:
            run_on_virtual_clock(main(case, *given_values))

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return wrap


def isolate_data_centres(fleet: Fleet, *centres: str) -> None:
    """Partition the given data centres from all others."""

    def is_partitioned(source: str, target: str) -> bool:
        inside = [
            address.split(":")[0].rstrip("0123456789") in centres for address in (source, target)
        ]
        return inside[0] != inside[1]

    fleet.network.is_partitioned = is_partitioned


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def heal_partition(fleet: Fleet) -> None:
    fleet.network.is_partitioned = lambda _source, _target: False


def relay_name(fleet: Fleet, centre: str, slot: int) -> str:
    """Return the name of a data centre's relay of one slot."""
    return next(
        name
        for name, node in fleet.nodes.items()
        if node.data_centre == centre and node.peers.status().relay_slot == slot
    )


class SurveyTests(unittest.TestCase):
    @with_fleet(a=3, b=2)
    async def test_all_connected_peers_answer_with_what_they_hold_now(self, fleet: Fleet) -> None:
        """Guards against answers from before the question, such as the last heartbeats."""
        fleet.nodes["a1"].replica.append_entries((fleet.log.accept(),))
        started_s = asyncio.get_running_loop().time()
        held = await fleet.nodes["a0"].peers.held_revisions()
        self.assertIn((1, "c1"), [(one.revision, one.change_id) for one in held])
        self.assertEqual(len(fleet.nodes["a0"].peers.linked_revisions()), len(held))
        self.assertLess(asyncio.get_running_loop().time() - started_s, 0.05)

    @with_fleet(a=3)
    async def test_a_silent_peer_delays_one_question_only(self, fleet: Fleet) -> None:
        """Guards against a peer without power that delays each change of the configuration."""
        fleet.kill("a2")
        loop = asyncio.get_running_loop()
        waits_s = []
        for _ in range(2):
            started_s = loop.time()
            held = await fleet.nodes["a0"].peers.held_revisions()
            waits_s.append(loop.time() - started_s)
            self.assertEqual(1, len(held))
        self.assertLess(waits_s[0], 0.5)
        self.assertLess(waits_s[1], 0.05)

    @with_fleet(a=1)
    async def test_a_process_without_peers_waits_for_nobody(self, fleet: Fleet) -> None:
        """Guards against a data centre with one process that can't change the configuration."""
        started_s = asyncio.get_running_loop().time()
        self.assertEqual((), await fleet.nodes["a0"].peers.held_revisions())
        self.assertEqual(started_s, asyncio.get_running_loop().time())


class MembershipTests(unittest.TestCase):
    @with_fleet(a=4, b=1)
    async def test_members_of_a_data_centre_find_each_other(self, fleet: Fleet) -> None:
        """Each lists all members of its own data centre only; two are relays and two watch."""
        nodes = [node for node in fleet.nodes.values() if node.data_centre == "a"]
        for node in nodes:
            self.assertEqual(node.live_names(), ["a0", "a1", "a2", "a3"])
        self.assertEqual(sorted(node.peers.status().relay_slot for node in nodes), [-1, -1, 0, 1])
        self.assertEqual(sum(node.peers.should_watch() for node in nodes), 2)

    @with_fleet(a=3)
    async def test_a_leaving_member_is_gone_at_once(self, fleet: Fleet) -> None:
        """A graceful stop removes a member everywhere within 0.1 s, without suspicion."""
        await fleet.nodes.pop("a0").peers.stop()
        await asyncio.sleep(0.1)
        for node in fleet.nodes.values():
            self.assertEqual(node.live_names(), ["a1", "a2"])

    @with_fleet(a=3)
    async def test_a_silent_member_is_suspected_before_it_is_removed(self, fleet: Fleet) -> None:
        """A member without power keeps its connections open and silent; it soon loses its roles.

        A pause of a few seconds, however, must not remove it.
        """
        fleet.kill("a0")
        await asyncio.sleep(6.5)
        suspects = [event.kind for event in fleet.nodes["a1"].timeline.events()]
        self.assertIs(suspects[-1], EventKind.PEER_SUSPECT)
        self.assertIn("a0", fleet.nodes["a1"].live_names())
        self.assertTrue(all(fleet.nodes[name].peers.should_watch() for name in ("a1", "a2")))
        await asyncio.sleep(4)
        self.assertEqual(fleet.nodes["a1"].live_names(), ["a1", "a2"])

    @with_fleet(a=3)
    async def test_a_broken_link_between_two_members_suspects_neither(self, fleet: Fleet) -> None:
        """A third member that reaches both reports them alive when the path between them is lost.

        If each removed the other, they would select different watchers and relays.
        """
        pair = {"a0:1", "a1:1"}
        fleet.network.is_partitioned = lambda source, target: {source, target} == pair
        await asyncio.sleep(30)
        for node in fleet.nodes.values():
            self.assertEqual(node.live_names(), ["a0", "a1", "a2"])
        self.assertNotIn("peers.members.suspect", fleet.nodes["a2"].metrics.counters())

    @with_fleet(a=2)
    async def test_members_connect_if_only_one_can_dial(self, fleet: Fleet) -> None:
        """A firewall allows dialling in one direction only, and the connection becomes silent.

        The end that can dial must open a new connection, which both ends use.
        """
        fleet.network.refuses_dial = lambda source, _target: source == "a0:1"
        fleet.network.lose_connections("a0:1")
        await asyncio.sleep(6.5)
        links = [node.peers.status().links for node in fleet.nodes.values()]
        self.assertEqual(links, [1, 1])

    @with_fleet(a=3)
    async def test_a_new_incarnation_replaces_the_old(self, fleet: Fleet) -> None:
        """An instance is replaced under its name while its old process, partitioned, still runs.

        The newer incarnation wins, and the older one is refused while the newer one is alive.
        """
        old = fleet.kill("a0")
        fleet.nodes["a0"] = fleet.make_node("a0", start_offset_s=100.0)
        await fleet.nodes["a0"].peers.start()
        await asyncio.sleep(2)
        members = {member.record.name: member for member in fleet.nodes["a1"].peers.live_entries()}
        own = old.peers.live_entries()[0].record
        self.assertEqual(members["a0"].record.incarnation - own.incarnation, 100_000)
        revived = fleet.make_node("a0", start_offset_s=50.0)
        await revived.peers.start()
        await asyncio.sleep(2)
        self.assertGreater(fleet.nodes["a1"].metrics.counters()["peers.links.unwelcome"], 0)
        await revived.peers.stop()

    @with_fleet(a=2)
    async def test_foreign_connections_are_refused_and_counted(self, fleet: Fleet) -> None:
        """A port scanner and a process with another fleet's key dial the peers' port.

        Both are refused and counted, and the members are not affected.
        """
        stream = await fleet.network.connect("x:1", "a0:1")
        stream.write(b"GET / HTTP/1.1\r\n\r\n")
        wrong = FleetKeys(keys=(b"some other fleet's key",))
        foreign_node = fleet.make_node("a7", keys=wrong)
        await foreign_node.peers.start()
        await asyncio.sleep(3)
        counters = fleet.nodes["a0"].metrics.counters()
        self.assertEqual(counters["peers.handshakes.refused.too-large"], 1)
        self.assertGreater(
            foreign_node.metrics.counters()["peers.handshakes.refused.unauthorised"], 0
        )
        self.assertEqual(fleet.nodes["a0"].live_names(), ["a0", "a1"])
        self.assertTrue(foreign_node.peers.should_watch())
        await foreign_node.peers.stop()

    @with_fleet(a=2)
    async def test_candidates_from_the_platforms_list_are_found(self, fleet: Fleet) -> None:
        """An instance without seeds finds one peer by the platform's list, and all then know it."""
        newcomer = fleet.nodes["a9"] = fleet.make_node("a9", seeds=())
        await newcomer.peers.start()
        await asyncio.sleep(4)
        self.assertEqual(newcomer.live_names(), ["a9"])
        newcomer.peers.set_candidates(("a0:1",))
        await asyncio.sleep(4)
        self.assertEqual(fleet.nodes["a1"].live_names(), ["a0", "a1", "a9"])

    @with_fleet(a=2)
    async def test_loads_of_peers_arrive(self, fleet: Fleet) -> None:
        """A peer receives all loads of another over a few heartbeats, four in each."""
        loads = tuple(ServiceLoad(service=f"s{n}", in_flight=n, waiting=0) for n in range(6))
        busy = fleet.nodes["a8"] = fleet.make_node("a8", loads=lambda: loads)
        await busy.peers.start()
        await asyncio.sleep(8)
        self.assertEqual(set(fleet.nodes["a0"].peers.peer_loads()["a8"]), set(loads))


class TcpTests(unittest.TestCase):
    def test_two_processes_connect_over_tcp(self) -> None:
        """Over TCP two networks connect, distribute a change and stop without errors."""

        async def main() -> list[str]:
            fleet = Fleet(sizes={})
            for name in ("a0", "a1"):
                fleet.nodes[name] = fleet.make_node(
                    name, address=free_address(), transport=TcpTransport(), seeds=()
                )
                await fleet.nodes[name].peers.start()
            fleet.nodes["a1"].peers.set_candidates((fleet.nodes["a0"].address,))
            fleet.accept_change_at("a0")
            await fleet.time_until(lambda: fleet.revisions() == {1}, within_s=CONVERGENCE_TIMEOUT_S)
            live_names = fleet.nodes["a0"].live_names()
            await fleet.stop()
            return live_names

        self.assertEqual(asyncio.run(main()), ["a0", "a1"])


class DistributionTests(unittest.TestCase):
    @with_fleet(a=4, b=3, c=1)
    async def test_a_change_reaches_all_within_a_second(self, fleet: Fleet) -> None:
        """A change reaches all processes, whether or not the one that read it is a relay."""
        for name in fleet.nodes:
            entry = fleet.accept_change_at(name)
            reached = lambda at=entry.revision: fleet.revisions() == {at}  # noqa: E731
            self.assertLess(await fleet.time_until(reached, within_s=CONVERGENCE_TIMEOUT_S), 1.0)

    @with_fleet(a=3, b=3)
    async def test_a_lost_push_is_repeated_on_a_new_connection(self, fleet: Fleet) -> None:
        """Connections became silent just before a push, and writes to them still succeed.

        The missing reply must close them, and new connections must carry the change.
        """
        fleet.network.lose_connections("a0:1")
        fleet.accept_change_at("a0")
        reached = lambda: fleet.revisions() == {1}  # noqa: E731
        self.assertLess(await fleet.time_until(reached, within_s=CONVERGENCE_TIMEOUT_S), 4.0)

    @with_fleet(a=2)
    async def test_the_queue_of_a_peer_that_stops_reading_is_bounded(self, fleet: Fleet) -> None:
        """Writes to a suspended peer block: its queue must not grow, nor other peers wait for it.

        Messages beyond the bound are dropped and recovered over a new connection.
        """
        link = fleet.nodes["a0"].peers._links.get("a1")
        assert link is not None
        fleet.network.stall_writes("a0:1")
        part = bytes(PeerTiming().queue_bytes // 4)
        self.assertEqual([link.send(part) for _ in range(6)], [True] * 4 + [False] * 2)
        fleet.accept_change_at("a0")
        reached = lambda: fleet.revisions() == {1}  # noqa: E731
        self.assertLess(await fleet.time_until(reached, within_s=CONVERGENCE_TIMEOUT_S), 5.0)

    @with_fleet(a=1)
    async def test_a_snapshot_larger_than_the_queue_arrives(self, fleet: Fleet) -> None:
        """The bound on a peer's queue must not prevent a new process from getting a large state."""
        names = tuple(f"{number:0500}" for number in range(2 * PeerTiming().queue_bytes // 500))
        plan = PlanRecord(
            digest="d",
            intent="",
            confirmed_by="",
            confirmed_at_s=0,
            base_revision=0,
            instances=names,
        )
        state = FleetState(revision=7, plans={"d": plan})
        fleet.nodes["a0"].replica.install_snapshot(Snapshot(state=state, last_change_id="c7"))
        fleet.nodes["a5"] = fleet.make_node("a5")
        await fleet.nodes["a5"].peers.start()
        await fleet.time_until(lambda: fleet.revisions() == {7}, within_s=CONVERGENCE_TIMEOUT_S)
        self.assertEqual(fleet.nodes["a5"].replica.state(), state)

    @parameterized.expand([("entries", 50), ("a snapshot", 900)])
    def test_a_gap_is_filled(self, _name: str, changes: int) -> None:
        """An instance that starts while the store is down must load the state from its peers.

        A small gap is filled with entries and a large one with a snapshot.
        """

        @with_fleet(a=3)
        async def main(_case: unittest.TestCase, fleet: Fleet) -> None:
            for _ in range(changes):
                fleet.accept_change_at("a1")
            await asyncio.sleep(5)
            replica = RecordingReplica()
            replica.append_entries(tuple(fleet.log.entries[:10]))
            newcomer = fleet.nodes["a7"] = fleet.make_node("a7", replica=replica)
            await newcomer.peers.start()
            reached = lambda: replica.state() == fleet.nodes["a1"].replica.state()  # noqa: E731
            self.assertLess(await fleet.time_until(reached, within_s=CONVERGENCE_TIMEOUT_S), 3.0)
            snapshots = newcomer.metrics.counters().get("peers.snapshots.adopted", 0)
            self.assertEqual(snapshots, int(changes > 512))

        main(self)

    @with_fleet(a=3, b=3, c=2)
    async def test_a_partitioned_data_centre_catches_up(self, fleet: Fleet) -> None:
        """A data centre is partitioned from all others and the platform for two minutes.

        It reports the age of its configuration and holds the newest one within 4.5 s afterwards.
        """
        fleet.accept_change_at("a0")
        await asyncio.sleep(4)
        isolate_data_centres(fleet, "b")
        for _ in range(40):
            fleet.accept_change_at("a0")
            await asyncio.sleep(3)
        status = fleet.nodes["b0"].peers.status()
        self.assertGreater(status.config_age_s, 115)
        self.assertEqual(status.data_centres_linked, ())
        self.assertEqual(fleet.nodes["b0"].live_names(), ["b0", "b1", "b2"])
        heal_partition(fleet)
        reached = lambda: fleet.revisions() == {41}  # noqa: E731
        self.assertLess(await fleet.time_until(reached, within_s=CONVERGENCE_TIMEOUT_S), 4.5)
        await asyncio.sleep(4)
        self.assertLess(fleet.nodes["b0"].peers.status().config_age_s, 8)

    @with_fleet(a=3, b=3)
    async def test_failed_relays_are_replaced(self, fleet: Fleet) -> None:
        """Both relays of a data centre lose power together, which must isolate it only for seconds.

        The other members select the same successors, and changes pass between data centres again.
        """
        for slot in (0, 1):
            fleet.kill(relay_name(fleet, "a", slot))
        await asyncio.sleep(9)
        fleet.accept_change_at(relay_name(fleet, "a", 0))
        reached = lambda: fleet.revisions() == {1}  # noqa: E731
        self.assertLess(await fleet.time_until(reached, within_s=CONVERGENCE_TIMEOUT_S), 1.0)

    @with_fleet(a=2)
    async def test_peers_do_not_refresh_an_unconfirmed_age(self, fleet: Fleet) -> None:
        """While the store is down for all, the configuration must age at every process.

        Confirmations forwarded without their age would make it look current indefinitely.
        """
        fleet.accept_change_at("a0")
        await asyncio.sleep(60)
        for node in fleet.nodes.values():
            self.assertGreater(node.peers.status().config_age_s, 55)

    @with_fleet(a=2)
    async def test_an_unknown_kind_of_change_closes_no_connection(self, fleet: Fleet) -> None:
        """During a roll-out an older process receives a change that it can't decode.

        It must stay at the revision before and keep its connections.
        """
        fleet.accept_change_at("a0")
        await asyncio.sleep(1)
        entry = fleet.log.accept()
        newer = NewerEntry(**{name: getattr(entry, name) for name in Entry.__slots__})
        fleet.nodes["a0"].replica.append_entries((newer,))
        await asyncio.sleep(60)
        older = fleet.nodes["a1"]
        self.assertEqual(older.replica.revision(), 1)
        self.assertEqual(older.peers.status().newest_revision, 2)
        self.assertEqual(older.live_names(), ["a0", "a1"])
        self.assertLess(older.metrics.counters()["peers.entries.undecodable"], 6)


class NewerEntry(Entry):
    """An entry with a kind of change that only a newer release knows."""

    def encode(self) -> bytes:
        return super().encode().replace(b"put-team", b"put-thing")


FAULT_SEQUENCES = st.lists(
    st.tuples(
        st.sampled_from(["accept", "cut", "heal", "restart", "silence"]),
        st.integers(0, 99),
        st.floats(0.0, 6.0),
    ),
    min_size=4,
    max_size=12,
)


class FaultSequenceTests(unittest.TestCase):
    @settings(max_examples=20)
    @given(FAULT_SEQUENCES)
    def test_all_converge_after_the_last_fault(self, steps: list[tuple[str, int, float]]) -> None:
        """Partitions, crashes and lost connections in any order must not make a revision decrease.

        At most 8 s after the end of the last fault all processes hold the newest revision.
        """
        run_on_virtual_clock(self.run_fault_sequence(steps))

    async def run_fault_sequence(self, steps: list[tuple[str, int, float]]) -> None:
        fleet = Fleet(sizes={"a": 3, "b": 2, "c": 1})
        await fleet.start()
        for number, (step, choice, wait_s) in enumerate(steps):
            name = sorted(fleet.nodes)[choice % len(fleet.nodes)]
            if step == "accept":
                fleet.accept_change_at(name)
            elif step == "cut":
                isolate_data_centres(fleet, "abc"[choice % 3])
            elif step == "heal":
                heal_partition(fleet)
            elif step == "silence":
                fleet.network.lose_connections(f"{name}:1")
            else:
                fleet.kill(name)
                fleet.nodes[name] = fleet.make_node(name, start_offset_s=float(number + 1))
                await fleet.nodes[name].peers.start()
            await asyncio.sleep(wait_s)
        heal_partition(fleet)
        fleet.accept_change_at(sorted(fleet.nodes)[0])
        newest = len(fleet.log.entries)
        await fleet.time_until(
            lambda: fleet.revisions() == {newest}, within_s=CONVERGENCE_TIMEOUT_S
        )
        for node in fleet.nodes.values():
            self.assertEqual(node.replica.held_revisions, sorted(node.replica.held_revisions))
        await fleet.stop()
