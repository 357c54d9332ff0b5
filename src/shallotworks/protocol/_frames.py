"""Frames: a length, the message, and after the handshake a tag that proves its origin."""

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
"""Largest frame taken from one who has not yet proved that it belongs."""
MESSAGE_LIMIT_BYTES = 1_280 * 1024
"""Largest frame taken from a peer: one value of the platform's store (1 MB) and its envelope."""


class ByteStream(Protocol):
    """One connection, as the frames see it."""

    async def read_exactly(self, size_bytes: int) -> bytes:
        """Return exactly so many bytes; raises ``EOFError`` or ``OSError`` where it ends."""
        ...

    def write(self, data: bytes) -> None:
        """Hand bytes to the connection."""
        ...

    async def drain(self) -> None:
        """Wait until the connection takes more bytes."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class FrameWriter:
    """Writes messages to one connection and counts bytes.

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
        """Tag every frame from now on."""
        self._key = key

    async def write(self, message: Message) -> None:
        """Write one message and wait until the connection can take more."""
        await self.write_encoded(encode(message))

    async def write_encoded(self, data: bytes) -> None:
        """Write one encoded message and wait until the connection can take more."""
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
    """Reads messages from one connection and counts bytes.

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
        """Expect a tag on every frame from now on."""
        self._key = key

    async def read(self, *, limit_bytes: int = MESSAGE_LIMIT_BYTES) -> Message:
        """Return the next message.

        Raises:
            ShallotworksError: ``TOO_LARGE`` before any byte of an oversized frame is kept;
                ``UNAUTHORISED`` for a wrong tag; ``PROTOCOL`` for anything that is no message.
            EOFError: The connection ended.
            OSError: The connection broke.
        """
        data = await self.read_encoded(limit_bytes=limit_bytes)
        return decode(data, limit_bytes=limit_bytes).alt(_raise).unwrap()

    async def read_encoded(self, *, limit_bytes: int) -> bytes:
        """Return the next frame's message as bytes; raises as `read` does."""
        length = int.from_bytes(await self._stream.read_exactly(LENGTH_BYTES), "big")
        # A foreign protocol or a hostile length (an HTTP request line reads as 1.2 GB) would make
        # the process allocate it; checked before the body is read, it costs four bytes.
        if length > limit_bytes:
            _raise(Failure(kind=ErrorKind.TOO_LARGE, reason=f"a frame of {length} bytes"))
        body = await self._stream.read_exactly(length)
        self.received_bytes += LENGTH_BYTES + length
        self.received_frames += 1
        return self._verify_tag(body) if self._key else body

    def _verify_tag(self, body: bytes) -> bytes:
        tag, data = body[:TAG_BYTES], body[TAG_BYTES:]
        if not hmac.compare_digest(tag, _tag(self._key, self._sequence, data)):
            _raise(Failure(kind=ErrorKind.UNAUTHORISED, reason="a frame with a wrong tag"))
        self._sequence += 1
        return data


def _tag(key: bytes, sequence: int, data: bytes) -> bytes:
    sequenced = sequence.to_bytes(SEQUENCE_BYTES, "big") + data
    return hmac.digest(key, sequenced, "sha256")[:TAG_BYTES]


def _raise(failure: Failure) -> None:
    raise ShallotworksError(failure)
