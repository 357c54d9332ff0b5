"""Encodes and decodes messages by the Cap'n Proto schema in ``peers.capnp``."""

from __future__ import annotations

from collections.abc import Callable
from importlib import resources
from typing import Any

import capnp
from returns.result import Failure as Err
from returns.result import Result, Success

from shallotworks.errors import ErrorKind, Failure

from ._messages import (
    Entries,
    EntriesRequest,
    Goodbye,
    Heartbeat,
    Hello,
    MemberRecord,
    Message,
    Proof,
    ServiceLoad,
    SnapshotPart,
    SnapshotRequest,
)

__all__ = ["decode", "encode"]

WORD_BYTES = 8
MAX_UNPACKED_WORDS_PER_WORD = 4
"""A message may unpack to this many words for each word of its frame's size limit, and reading it
may traverse no more than that."""
MAX_NESTING_DEPTH = 8

_SCHEMA: Any = capnp.load(
    str(resources.files("shallotworks.protocol").joinpath("peers.capnp")), imports=[]
)


def encode(message: Message) -> bytes:
    """Encode a message in packed Cap'n Proto format."""
    frame = _SCHEMA.Frame.new_message()
    _WRITERS[type(message)](frame, message)
    packed: bytes = frame.to_bytes_packed()
    return packed


def decode(data: bytes, *, limit_bytes: int) -> Result[Message, Failure]:
    """Decode one message.

    A few packed bytes can unpack to gigabytes. The traversal limit makes the library check the
    sizes in the message's header before it allocates memory.

    Args:
        data: The packed message.
        limit_bytes: Largest size of the frame that carried the message.

    Returns:
        The message, or ``PROTOCOL`` if the bytes are no message that this release knows.
    """
    limit_words = MAX_UNPACKED_WORDS_PER_WORD * limit_bytes // WORD_BYTES
    try:
        frame = _SCHEMA.Frame.from_bytes_packed(
            data, traversal_limit_in_words=limit_words, nesting_limit=MAX_NESTING_DEPTH
        )
        return Success(_READERS[str(frame.which())](frame))
    except (capnp.KjException, KeyError, ValueError) as error:
        return Err(
            Failure(
                kind=ErrorKind.PROTOCOL, reason=f"cannot decode the message: {type(error).__name__}"
            )
        )


def _write_record(builder: Any, record: MemberRecord) -> None:
    builder.name = record.name
    builder.address = record.address
    builder.dataCentre = record.data_centre
    builder.region = record.region
    builder.incarnation = record.incarnation
    builder.version = record.version
    builder.relaySlot = record.relay_slot
    builder.left = record.left


def _read_record(reader: Any) -> MemberRecord:
    return MemberRecord(
        name=reader.name,
        address=reader.address,
        data_centre=reader.dataCentre,
        region=reader.region,
        incarnation=reader.incarnation,
        version=reader.version,
        relay_slot=reader.relaySlot,
        left=reader.left,
    )


def _write_hello(frame: Any, message: Hello) -> None:
    builder = frame.init("hello")
    builder.lowestVersion = message.lowest_version
    builder.highestVersion = message.highest_version
    builder.nonce = message.nonce
    _write_record(builder.init("member"), message.member)


def _read_hello(frame: Any) -> Hello:
    reader = frame.hello
    return Hello(
        lowest_version=reader.lowestVersion,
        highest_version=reader.highestVersion,
        member=_read_record(reader.member),
        nonce=reader.nonce,
    )


def _write_proof(frame: Any, message: Proof) -> None:
    frame.init("proof").digest = message.digest


def _read_proof(frame: Any) -> Proof:
    return Proof(digest=frame.proof.digest)


def _write_heartbeat(frame: Any, message: Heartbeat) -> None:
    builder = frame.init("heartbeat")
    builder.revision = message.revision
    builder.newestRevision = message.newest_revision
    builder.newestAgeMs = message.newest_age_ms
    builder.question = message.question
    builder.answer = message.answer
    if message.change_id:
        builder.changeId = message.change_id
    if message.heard:
        builder.heard = message.heard
    if message.records:
        records = builder.init("records", len(message.records))
        for index, record in enumerate(message.records):
            _write_record(records[index], record)
    if message.loads:
        loads = builder.init("loads", len(message.loads))
        for index, load in enumerate(message.loads):
            loads[index].service = load.service
            loads[index].inFlight = load.in_flight
            loads[index].waiting = load.waiting


def _read_heartbeat(frame: Any) -> Heartbeat:
    reader = frame.heartbeat
    return Heartbeat(
        revision=reader.revision,
        newest_revision=reader.newestRevision,
        newest_age_ms=reader.newestAgeMs,
        heard=tuple(reader.heard),
        records=tuple(_read_record(record) for record in reader.records),
        loads=tuple(
            ServiceLoad(service=load.service, in_flight=load.inFlight, waiting=load.waiting)
            for load in reader.loads
        ),
        question=reader.question,
        answer=reader.answer,
        change_id=reader.changeId,
    )


def _write_entries(frame: Any, message: Entries) -> None:
    frame.init("entries").entries = message.entries


def _read_entries(frame: Any) -> Entries:
    return Entries(entries=tuple(frame.entries.entries))


def _write_entries_request(frame: Any, message: EntriesRequest) -> None:
    frame.init("entriesRequest").after = message.after


def _read_entries_request(frame: Any) -> EntriesRequest:
    return EntriesRequest(after=frame.entriesRequest.after)


def _write_snapshot_request(frame: Any, _message: SnapshotRequest) -> None:
    frame.init("snapshotRequest")


def _read_snapshot_request(_frame: Any) -> SnapshotRequest:
    return SnapshotRequest()


def _write_snapshot_part(frame: Any, message: SnapshotPart) -> None:
    builder = frame.init("snapshotPart")
    builder.revision = message.revision
    builder.index = message.index
    builder.count = message.count
    builder.data = message.data


def _read_snapshot_part(frame: Any) -> SnapshotPart:
    reader = frame.snapshotPart
    return SnapshotPart(
        revision=reader.revision, index=reader.index, count=reader.count, data=reader.data
    )


def _write_goodbye(frame: Any, message: Goodbye) -> None:
    frame.init("goodbye").leaving = message.leaving


def _read_goodbye(frame: Any) -> Goodbye:
    return Goodbye(leaving=frame.goodbye.leaving)


_WRITERS: dict[type, Callable[[Any, Any], None]] = {
    Hello: _write_hello,
    Proof: _write_proof,
    Heartbeat: _write_heartbeat,
    Entries: _write_entries,
    EntriesRequest: _write_entries_request,
    SnapshotRequest: _write_snapshot_request,
    SnapshotPart: _write_snapshot_part,
    Goodbye: _write_goodbye,
}

_READERS: dict[str, Callable[[Any], Message]] = {
    "hello": _read_hello,
    "proof": _read_proof,
    "heartbeat": _read_heartbeat,
    "entries": _read_entries,
    "entriesRequest": _read_entries_request,
    "snapshotRequest": _read_snapshot_request,
    "snapshotPart": _read_snapshot_part,
    "goodbye": _read_goodbye,
}
