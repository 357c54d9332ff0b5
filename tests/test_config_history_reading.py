"""Tests of past revisions: reading and comparing them, and reverting a change."""

import unittest

from parameterized import parameterized

from shallotworks.config import RecordKind, diff
from shallotworks.errors import ErrorKind
from shallotworks.fleet import (
    Change,
    Condition,
    DataCentre,
    FleetState,
    Instance,
    Pool,
    PutDataCentre,
    PutInstance,
    PutPool,
    PutService,
    PutTeam,
    RemoveInstance,
    RemoveService,
    RemoveTeam,
    Service,
    SetCondition,
    Team,
)
from shallotworks.standins import MemoryStore
from tests.test_config_store import kind_of, make_process, run

BASE: tuple[Change, ...] = (
    PutDataCentre(data_centre=DataCentre(name="bergen", region="vest")),
    PutPool(pool=Pool(name="crews")),
    PutService(service=Service(name="traces", pool="crews", share=0.5, max_unavailable=1)),
    PutTeam(team=Team(name="mast", quota_slots=4)),
    PutInstance(
        instance=Instance(
            name="w1", data_centre="bergen", rack="r1", pool="crews", address="10.0.0.1:1", slots=8
        )
    ),
)


class RevertRevisionTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("put anew", PutTeam(team=Team(name="new", quota_slots=1))),
            ("put over", PutTeam(team=Team(name="mast", quota_slots=9))),
            ("remove", RemoveTeam(name="mast")),
            ("remove a service", RemoveService(name="traces")),
            ("remove an instance", RemoveInstance(name="w1")),
            ("another region", PutDataCentre(data_centre=DataCentre(name="bergen", region="ost"))),
        ]
    )
    def test_reverted_change_restores_the_records(self, _name: str, change: Change) -> None:
        """A reverted change leaves the records as they were, at a revision of its own."""

        async def main() -> None:
            config = make_process(MemoryStore(), "e1")
            for base in BASE:
                (await config.propose(base, author="kari")).unwrap()
            before = config.state()
            made = (await config.propose(change, author="ola")).unwrap()
            self.assertEqual(len(diff(before, config.state())), 1)
            back = (await config.revert_revision(made.revision, author="kari")).unwrap()
            self.assertEqual(back.revision, made.revision + 1)
            self.assertEqual(diff(before, config.state()), ())

        run(main)

    @parameterized.expand(
        [
            ("changed since", 4, PutTeam(team=Team(name="mast", quota_slots=9)), "CONFLICT"),
            ("a data centre stays", 1, None, "INVALID_REQUEST"),
            ("not written yet", 9, None, "NOT_FOUND"),
            ("a cordon", 6, SetCondition(names=("w1",), condition=Condition.CORDONED), ""),
        ]
    )
    def test_refused(self, _name: str, revision: int, then: Change | None, kind: str) -> None:
        """A revert is refused if the record changed again, nothing reverts it, or it is missing."""

        async def main() -> None:
            config = make_process(MemoryStore(), "e1")
            for base in (*BASE, then):
                if base is not None:
                    (await config.propose(base, author="kari")).unwrap()
            held = config.revision()
            refused = await config.revert_revision(revision, author="ola")
            self.assertIs(kind_of(refused), ErrorKind[kind or "INVALID_REQUEST"])
            self.assertEqual(config.revision(), held)

        run(main)


class PastStateTests(unittest.TestCase):
    def test_past_states_while_they_are_kept(self) -> None:
        """States back to the previous snapshot can be read; older ones are not found."""

        async def main() -> None:
            store = MemoryStore()
            config = make_process(store, "e1", every=10, kept=5)
            states: dict[int, FleetState] = {}
            for number in range(35):
                (await config.propose(PutPool(pool=Pool(name=f"p{number}")), author="x")).unwrap()
                states[config.revision()] = config.state()
            for revision in (25, 30, 33, 35):
                self.assertEqual((await config.state_at(revision)).unwrap(), states[revision])
            self.assertEqual(kind_of(await config.state_at(12)), ErrorKind.NOT_FOUND)
            found = diff(states[33], states[35])
            self.assertEqual([entry.name for entry in found], ["p33", "p34"])
            self.assertEqual({entry.kind for entry in found}, {RecordKind.POOL})

        run(main)
