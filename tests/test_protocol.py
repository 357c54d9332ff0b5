"""Tests of `shallotworks.protocol`: encoding, handshake, frames, and the input they refuse."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from parameterized import parameterized
from returns.pipeline import is_successful

from shallotworks.errors import ErrorKind, ShallotworksError
from shallotworks.protocol import (
    HANDSHAKE_LIMIT_BYTES,
    MESSAGE_LIMIT_BYTES,
    Entries,
    EntriesRequest,
    FleetKeys,
    FrameReader,
    Goodbye,
    Heartbeat,
    Hello,
    MemberRecord,
    Message,
    Proof,
    ServiceLoad,
    Session,
    SnapshotPart,
    SnapshotRequest,
    VersionRange,
    accept,
    decode,
    dial,
    encode,
    load_keys,
    negotiate,
)

from .peer_fakes import KEYS, MemoryNetwork, MemoryStream, run_on_virtual_clock

MEMBER = MemberRecord(
    name="bergen1",
    address="10.0.0.1:8082",
    data_centre="bergen",
    region="vest",
    incarnation=1_764_700_000_123,
    version=2,
    relay_slot=1,
    left=True,
)
MESSAGES: list[tuple[str, Message]] = [
    ("hello", Hello(lowest_version=1, highest_version=2, member=MEMBER, nonce=b"n" * 16)),
    ("proof", Proof(digest=b"p" * 32)),
    (
        "heartbeat",
        Heartbeat(
            revision=7,
            newest_revision=8,
            newest_age_ms=9,
            heard=(1, 2**32 - 1),
            records=(MEMBER,),
            loads=(ServiceLoad(service="trace", in_flight=3, waiting=4),),
        ),
    ),
    (
        "heartbeat with a question and an answer",
        Heartbeat(
            revision=7,
            newest_revision=8,
            newest_age_ms=9,
            question=3,
            answer=2**32 - 1,
            change_id="c7",
        ),
    ),
    ("entries", Entries(entries=(b"a", b"", b"bc"))),
    ("entries request", EntriesRequest(after=2**40)),
    ("snapshot request", SnapshotRequest()),
    ("snapshot part", SnapshotPart(revision=5, index=1, count=3, data=b"\x00\xff")),
    ("goodbye", Goodbye(leaving=True)),
]


class CodecTests(unittest.TestCase):
    @parameterized.expand(MESSAGES)
    def test_message_survives_encoding(self, _name: str, message: Message) -> None:
        """A decoded message equals the encoded one."""
        self.assertEqual(decode(encode(message), limit_bytes=4096).unwrap(), message)

    @given(st.binary(max_size=300))
    def test_decoding_any_bytes_does_not_raise(self, data: bytes) -> None:
        """Random bytes decode to some message or to a `PROTOCOL` failure, without an exception."""
        self._decode_or_fail(data)

    @given(st.sampled_from(MESSAGES), st.integers(0, 300), st.integers(0, 255))
    def test_decoding_damaged_messages_does_not_raise(
        self, case: tuple[str, Message], at: int, value: int
    ) -> None:
        """A message with one byte changed, or truncated, decodes without an exception."""
        data = bytearray(encode(case[1]))
        data[at % len(data)] = value
        self._decode_or_fail(bytes(data))
        self._decode_or_fail(bytes(data[: at % len(data)]))

    def test_unpacked_size_is_bounded(self) -> None:
        """A packed message of 10 KB that unpacks to 10 MB of zeros must not cost that memory.

        The sizes in its header are checked against the frame's bound before it is unpacked.
        """
        packed = encode(Entries(entries=(bytes(10 * 1024 * 1024),)))
        self.assertLess(len(packed), 64 * 1024)
        outcome = decode(packed, limit_bytes=64 * 1024)
        self.assertIs(outcome.failure().kind, ErrorKind.PROTOCOL)

    def _decode_or_fail(self, data: bytes) -> None:
        outcome = decode(data, limit_bytes=HANDSHAKE_LIMIT_BYTES)
        if not is_successful(outcome):
            self.assertIs(outcome.failure().kind, ErrorKind.PROTOCOL)


class VersionTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("same", (1, 1), (1, 1), 1),
            ("newer neighbour", (1, 2), (2, 3), 2),
            ("older neighbour", (3, 4), (2, 3), 3),
            ("a release apart", (1, 1), (2, 2), None),
        ]
    )
    def test_newest_common_version_is_negotiated(
        self, _name: str, ours: tuple[int, int], theirs: tuple[int, int], negotiated: int | None
    ) -> None:
        """Neighbouring releases use the newest version that both support; others are refused."""
        ranges = [VersionRange(lowest=low, highest=high) for low, high in (ours, theirs)]
        if negotiated is not None:
            self.assertEqual(negotiate(*ranges), negotiated)
            return
        with self.assertRaises(ShallotworksError) as caught:
            negotiate(*ranges)
        self.assertIs(caught.exception.failure.kind, ErrorKind.PROTOCOL)


class KeyFileTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("one key", "a key of 24 characters..\n", 1),
            (
                "a second while keys are replaced",
                "the new key, 24 characters\n\nthe old key 1234\n",
                2,
            ),
            ("none", "\n", 0),
            ("too short", "short\n", 0),
            ("three", "a key of 24 characters..\n" * 3, 0),
        ]
    )
    def test_key_file(self, _name: str, text: str, keys: int) -> None:
        """A key file contains one key, or two during rotation, of at least 16 bytes each."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "key"
            path.write_text(text, encoding="utf-8")
            outcome = load_keys(path)
        self.assertEqual(len(outcome.unwrap().keys) if is_successful(outcome) else 0, keys)


async def _connect_pair() -> tuple[MemoryStream, MemoryStream]:
    network = MemoryNetwork()
    accepted: asyncio.Queue[Any] = asyncio.Queue()
    network.listen("there:1", accepted.put)
    ours = await network.connect("here:1", "there:1")
    return ours, await accepted.get()


class HandshakeTests(unittest.TestCase):
    def perform_handshake(
        self, ours: FleetKeys, theirs: FleetKeys
    ) -> list[Session | BaseException]:
        async def main() -> list[Session | BaseException]:
            dialler_stream, listener_stream = await _connect_pair()

            async def close_on_error(handshake: Any, stream: MemoryStream) -> Session:
                try:
                    session: Session = await handshake
                except BaseException:
                    stream.close()
                    raise
                return session

            return await asyncio.gather(
                close_on_error(
                    dial(stream=dialler_stream, member=MEMBER, keys=ours), dialler_stream
                ),
                close_on_error(
                    accept(stream=listener_stream, member=MEMBER, keys=theirs), listener_stream
                ),
                return_exceptions=True,
            )

        return run_on_virtual_clock(main())

    def test_both_ends_receive_the_record_of_the_other(self) -> None:
        """With a common key each end receives the other's record."""
        for session in self.perform_handshake(KEYS, KEYS):
            assert isinstance(session, Session)
            self.assertEqual(session.member, MEMBER)

    def test_wrong_key_is_refused_by_both(self) -> None:
        """The dialler must reject a listener with another fleet's key before sending its own proof.

        The listener then receives no proof at all.
        """
        dialler, listener = self.perform_handshake(KEYS, FleetKeys(keys=(b"another fleet's key",)))
        assert isinstance(dialler, ShallotworksError)
        self.assertIs(dialler.failure.kind, ErrorKind.UNAUTHORISED)
        self.assertIsInstance(listener, EOFError)

    def test_keys_can_be_rotated(self) -> None:
        """A process with the new and the old key and one with the old key accept each other."""
        new, old = b"the new key 0123456", b"the old key 0123456"
        ends = self.perform_handshake(FleetKeys(keys=(new, old)), FleetKeys(keys=(old,)))
        self.assertTrue(all(isinstance(end, Session) for end in ends))

    def test_a_replayed_frame_is_refused(self) -> None:
        """A frame replayed on the path between the ends is refused by its sequence number.

        Without that number under the tag, old heartbeats or entries would be accepted as new.
        """

        async def main() -> ErrorKind:
            dialler_stream, listener_stream = await _connect_pair()
            handshakes = [
                dial(stream=dialler_stream, member=MEMBER, keys=KEYS),
                accept(stream=listener_stream, member=MEMBER, keys=KEYS),
            ]
            dialler, listener = await asyncio.gather(*handshakes)
            written: list[bytes] = []
            dialler_stream.write = written.append  # type: ignore[method-assign]
            await dialler.writer.write(Goodbye(leaving=False))
            listener_stream.feed(written[0] + written[0])
            await listener.reader.read()
            with self.assertRaises(ShallotworksError) as caught:
                await listener.reader.read()
            return caught.exception.failure.kind

        self.assertIs(run_on_virtual_clock(main()), ErrorKind.UNAUTHORISED)


class FrameTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("oversized", (MESSAGE_LIMIT_BYTES + 1).to_bytes(4, "big"), ErrorKind.TOO_LARGE),
            ("foreign", b"GET / HTTP/1.1\r\n\r\n", ErrorKind.TOO_LARGE),
            ("malformed", b"\x00\x00\x00\x03abc", ErrorKind.PROTOCOL),
            ("empty", b"\x00\x00\x00\x00", ErrorKind.PROTOCOL),
        ]
    )
    def test_refused_frames(self, _name: str, data: bytes, kind: ErrorKind) -> None:
        """Invalid frames are refused, an oversized one before its body is read."""

        async def main() -> ErrorKind:
            _, listener_stream = await _connect_pair()
            listener_stream.feed(data)
            with self.assertRaises(ShallotworksError) as caught:
                await FrameReader(stream=listener_stream).read()
            return caught.exception.failure.kind

        self.assertIs(run_on_virtual_clock(main()), kind)
