"""Tests of the encoding of entries and snapshots of `shallotworks.config`."""

import unittest

from shallotworks.config import Entry, Snapshot
from shallotworks.fleet import Condition, DataCentre, FleetState, PutDataCentre, SetCondition


class EncodingTests(unittest.TestCase):
    def test_entry_survives_encoding(self) -> None:
        """A decoded entry equals the encoded one, including the kind of its change."""
        entry = Entry(
            revision=3,
            change_id="c1",
            author="kari",
            at_s=1.5,
            change=SetCondition(names=("w1",), condition=Condition.CORDONED),
        )
        self.assertEqual(Entry.decode(entry.encode()), entry)

    def test_snapshot_survives_encoding(self) -> None:
        """A decoded snapshot equals the encoded one."""
        centre = PutDataCentre(data_centre=DataCentre(name="bergen", region="vest")).data_centre
        state = FleetState(revision=9, data_centres={"bergen": centre})
        snapshot = Snapshot(state=state, last_change_id="c9")
        self.assertEqual(Snapshot.decode(snapshot.encode()), snapshot)
