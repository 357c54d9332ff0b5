"""The handshake: exchange of identities, version negotiation and mutual proof of the fleet's key.

The dialler sends its hello, the listener answers with its own hello and its proof, and the dialler
sends its proof last. Each proof covers both hellos, each with a fresh nonce, so that it can't be
replayed, and the sender's role, so that it can't be reflected.
"""

from __future__ import annotations

import hmac
import secrets
from dataclasses import dataclass
from typing import NoReturn, TypeVar

from shallotworks.errors import ErrorKind, Failure, ShallotworksError

from ._codec import decode, encode
from ._frames import HANDSHAKE_LIMIT_BYTES, ByteStream, FrameReader, FrameWriter
from ._keys import FleetKeys
from ._messages import Hello, MemberRecord, Message, Proof

__all__ = ["SUPPORTED_VERSIONS", "Session", "VersionRange", "accept", "dial", "negotiate"]

NONCE_BYTES = 16
DIALLER = b"dialler"
LISTENER = b"listener"

_Kind = TypeVar("_Kind", bound=Message)


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionRange:
    """Protocol versions that one release supports, both ends included."""

    lowest: int
    highest: int


SUPPORTED_VERSIONS = VersionRange(lowest=1, highest=1)


@dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """A session that the handshake has established.

    Args:
        member: Record of the peer.
        version: The negotiated protocol version.
        reader: Reads the peer's messages.
        writer: Writes messages to the peer.
    """

    member: MemberRecord
    version: int
    reader: FrameReader
    writer: FrameWriter


def negotiate(ours: VersionRange, theirs: VersionRange) -> int:
    """Return the newest version that both ends support.

    Raises:
        ShallotworksError: ``PROTOCOL`` if there is none, as the releases are too far apart.
    """
    version = min(ours.highest, theirs.highest)
    if version < max(ours.lowest, theirs.lowest):
        _refuse(
            ErrorKind.PROTOCOL,
            f"peer supports protocol versions {theirs.lowest} to {theirs.highest}, not"
            f" {ours.lowest} to {ours.highest}",
        )
    return version


async def dial(
    *,
    stream: ByteStream,
    member: MemberRecord,
    keys: FleetKeys,
    supported_versions: VersionRange = SUPPORTED_VERSIONS,
) -> Session:
    """Perform the handshake as the end that opened the connection.

    Raises:
        ShallotworksError: ``UNAUTHORISED`` for a wrong proof, ``PROTOCOL`` for an unexpected
            message or no common version, ``TOO_LARGE`` for an oversized frame.
        EOFError: The other end closed the connection.
        OSError: The connection broke.
    """
    reader, writer = FrameReader(stream=stream), FrameWriter(stream=stream)
    sent = encode(_hello(member, supported_versions))
    await writer.write_encoded(sent)
    received = await reader.read_encoded(limit_bytes=HANDSHAKE_LIMIT_BYTES)
    hello = _expect(received, Hello)
    version = negotiate(supported_versions, _range(hello))
    transcript = sent + received
    key = await _check_proof(reader, keys, LISTENER, transcript)
    await writer.write(Proof(digest=keys.prove(key=key, role=DIALLER, transcript=transcript)))
    _set_tag_keys(reader, writer, key, transcript, ours=DIALLER, theirs=LISTENER)
    return Session(member=hello.member, version=version, reader=reader, writer=writer)


async def accept(
    *,
    stream: ByteStream,
    member: MemberRecord,
    keys: FleetKeys,
    supported_versions: VersionRange = SUPPORTED_VERSIONS,
) -> Session:
    """Perform the handshake as the end that was dialled; raises the errors of `dial`."""
    reader, writer = FrameReader(stream=stream), FrameWriter(stream=stream)
    received = await reader.read_encoded(limit_bytes=HANDSHAKE_LIMIT_BYTES)
    hello = _expect(received, Hello)
    sent = encode(_hello(member, supported_versions))
    await writer.write_encoded(sent)
    version = negotiate(supported_versions, _range(hello))
    transcript = received + sent
    listener_digest = keys.prove(key=keys.keys[0], role=LISTENER, transcript=transcript)
    await writer.write(Proof(digest=listener_digest))
    key = await _check_proof(reader, keys, DIALLER, transcript)
    _set_tag_keys(reader, writer, key, transcript, ours=LISTENER, theirs=DIALLER)
    return Session(member=hello.member, version=version, reader=reader, writer=writer)


def _hello(member: MemberRecord, supported_versions: VersionRange) -> Hello:
    return Hello(
        lowest_version=supported_versions.lowest,
        highest_version=supported_versions.highest,
        member=member,
        nonce=secrets.token_bytes(NONCE_BYTES),
    )


def _range(hello: Hello) -> VersionRange:
    return VersionRange(lowest=hello.lowest_version, highest=hello.highest_version)


def _expect(data: bytes, kind: type[_Kind]) -> _Kind:
    message = decode(data, limit_bytes=HANDSHAKE_LIMIT_BYTES).value_or(None)
    if not isinstance(message, kind):
        _refuse(ErrorKind.PROTOCOL, f"handshake expected a {kind.__name__} message")
    return message


async def _check_proof(
    reader: FrameReader, keys: FleetKeys, role: bytes, transcript: bytes
) -> bytes:
    data = await reader.read_encoded(limit_bytes=HANDSHAKE_LIMIT_BYTES)
    proof = _expect(data, Proof)
    key = keys.find(role=role, transcript=transcript, digest=proof.digest)
    if key is None:
        _refuse(ErrorKind.UNAUTHORISED, "peer's proof matches none of the fleet's keys")
    return key


def _set_tag_keys(
    reader: FrameReader,
    writer: FrameWriter,
    key: bytes,
    transcript: bytes,
    *,
    ours: bytes,
    theirs: bytes,
) -> None:
    writer.set_tag_key(hmac.digest(key, b"frames of " + ours + transcript, "sha256"))
    reader.set_tag_key(hmac.digest(key, b"frames of " + theirs + transcript, "sha256"))


def _refuse(kind: ErrorKind, reason: str) -> NoReturn:
    raise ShallotworksError(Failure(kind=kind, reason=reason))
