"""Frames: a length, a message, and after the handshake an authentication tag before the message."""

from __future__ import annotations

import hmac
from typing import Protocol

from shallotworks.errors import ErrorKind, Failure, ShallotworksError

from ._codec import decode, encode
from ._messages import Message

__all__ = [
    "HANDSHAKE_LIMIT_BYTES",
    "MESSAGE_LIMIT_BYTES",
    "ByteStream",
    "FrameReader",
    "FrameWriter",
]

LENGTH_BYTES = 4
TAG_BYTES = 8
SEQUENCE_BYTES = 8
HANDSHAKE_LIMIT_BYTES = 1024
"""Largest frame accepted from a peer before it is authenticated."""
MESSAGE_LIMIT_BYTES = 1_280 * 1024
"""Largest frame accepted from an authenticated peer: a value of the store (1 MB) and overhead."""


class ByteStream(Protocol):
    """The byte stream of one connection."""

    async def read_exactly(self, size_bytes: int) -> bytes:
        """Return exactly ``size_bytes`` bytes.

        Raises:
            EOFError: The connection ended.
            OSError: The connection broke.
        """
        ...

    def write(self, data: bytes) -> None:
        """Add bytes to the connection's send buffer."""
        ...

    async def drain(self) -> None:
        """Wait until the send buffer accepts more bytes."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class FrameWriter:
    """Writes messages to one connection and counts frames and bytes.

    Args:
        stream: The connection.
    """

    __slots__ = ("_key", "_sequence", "_stream", "sent_bytes", "sent_frames")

    def __init__(self, *, stream: ByteStream) -> None:
        self._stream = stream
        self._key = b""
        self._sequence = 0
        self.sent_bytes = 0
        self.sent_frames = 0

    def set_tag_key(self, key: bytes) -> None:
        """Tag every frame from now on with this key."""
        self._key = key

    async def write(self, message: Message) -> None:
        """Write one message and wait until the send buffer accepts more."""
        await self.write_encoded(encode(message))

    async def write_encoded(self, data: bytes) -> None:
        """Write one encoded message and wait until the send buffer accepts more."""
        tag = b""
        if self._key:
            tag = _tag(self._key, self._sequence, data)
            self._sequence += 1
        frame = (len(tag) + len(data)).to_bytes(LENGTH_BYTES, "big") + tag + data
        self._stream.write(frame)
        self.sent_bytes += len(frame)
        self.sent_frames += 1
        await self._stream.drain()


class FrameReader:
    """Reads messages from one connection and counts frames and bytes.

    Args:
        stream: The connection.
    """

    __slots__ = ("_key", "_sequence", "_stream", "received_bytes", "received_frames")

    def __init__(self, *, stream: ByteStream) -> None:
        self._stream = stream
        self._key = b""
        self._sequence = 0
        self.received_bytes = 0
        self.received_frames = 0

    def set_tag_key(self, key: bytes) -> None:
        """Require a tag with this key on every frame from now on."""
        self._key = key

    async def read(self, *, limit_bytes: int = MESSAGE_LIMIT_BYTES) -> Message:
        """Return the next message.

        Raises:
            ShallotworksError: ``TOO_LARGE`` for an oversized frame, before its body is read;
                ``UNAUTHORISED`` for a wrong tag; ``PROTOCOL`` for an invalid message.
            EOFError: The connection ended.
            OSError: The connection broke.
        """
        data = await self.read_encoded(limit_bytes=limit_bytes)
        return decode(data, limit_bytes=limit_bytes).alt(_raise).unwrap()

    async def read_encoded(self, *, limit_bytes: int) -> bytes:
        """Return the encoded message of the next frame.

        Raises:
            ShallotworksError: ``TOO_LARGE`` or ``UNAUTHORISED``, as `read`.
            EOFError: The connection ended.
            OSError: The connection broke.
        """
        length = int.from_bytes(await self._stream.read_exactly(LENGTH_BYTES), "big")
        # Another protocol or a malicious peer can announce a huge length (the start of an HTTP
        # request reads as 1.2 GB). The check comes before memory for the body is allocated.
        if length > limit_bytes:
            _raise(
                Failure(
                    kind=ErrorKind.TOO_LARGE,
                    reason=f"frame of {length} bytes exceeds the size limit",
                )
            )
        body = await self._stream.read_exactly(length)
        self.received_bytes += LENGTH_BYTES + length
        self.received_frames += 1
        return self._verify_tag(body) if self._key else body

    def _verify_tag(self, body: bytes) -> bytes:
        tag, data = body[:TAG_BYTES], body[TAG_BYTES:]
        if not hmac.compare_digest(tag, _tag(self._key, self._sequence, data)):
            _raise(
                Failure(kind=ErrorKind.UNAUTHORISED, reason="frame has a wrong authentication tag")
            )
        self._sequence += 1
        return data


def _tag(key: bytes, sequence: int, data: bytes) -> bytes:
    sequenced = sequence.to_bytes(SEQUENCE_BYTES, "big") + data
    return hmac.digest(key, sequenced, "sha256")[:TAG_BYTES]


def _raise(failure: Failure) -> None:
    raise ShallotworksError(failure)
