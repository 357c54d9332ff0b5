"""The record that keeps one idempotency key, as stored in the platform's service."""

from __future__ import annotations

import base64
import hashlib
from dataclasses import dataclass
from enum import Enum, unique

from pydantic import TypeAdapter

from ._messages import Request, Response

__all__ = ["StoredAnswer", "IdempotencyRecord", "IdempotencyState", "digest_of", "key_of"]

KEY_PREFIX = "once"
NO_TEAM = "-"


@unique
class IdempotencyState(Enum):
    """Where the one run of a key stands."""

    CLAIMED = "claimed"
    """A process has the right to run it, and may be doing so."""
    DONE = "done"
    """It ran and was answered."""
    UNKNOWN = "unknown"
    """It was sent, and nobody knows how it ended."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """A target's answer as JSON can hold it.

    Args:
        status: HTTP status.
        headers: Headers.
        body: The body in base 64.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str

    @classmethod
    def of(cls, response: Response) -> StoredAnswer:
        """Return what is kept of an answer."""
        body = base64.b64encode(response.body).decode("ascii")
        return cls(status=response.status, headers=response.headers, body=body)

    def response(self) -> Response:
        """Return the answer."""
        body = base64.b64decode(self.body)
        return Response(status=self.status, headers=self.headers, body=body)


@dataclass(frozen=True, slots=True, kw_only=True)
class IdempotencyRecord:
    """One key's record.

    Args:
        state: Where its run stands.
        request_digest: Digest of the request that claimed it.
        claim_id: Unique id of the claim, by which a lost answer is resolved.
        owner: Name of the process that claimed it.
        answer: The answer, where it is done and fits the bound.
        answer_digest: Digest of the answer's body, where it is done.
    """

    state: IdempotencyState
    request_digest: str
    claim_id: str
    owner: str
    answer: StoredAnswer | None = None
    answer_digest: str = ""

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return _RECORD.dump_json(self)

    @classmethod
    def decode(cls, data: bytes) -> IdempotencyRecord:
        """Read a record; raises ``pydantic.ValidationError`` where it is not one."""
        return _RECORD.validate_json(data)


def key_of(request: Request) -> str:
    """Return the key of a request's record in the platform's service."""
    key_digest = hashlib.sha256(request.idempotency_key.encode()).hexdigest()
    return f"{KEY_PREFIX}/{request.team or NO_TEAM}/{request.service}/{key_digest}"


def digest_of(request: Request) -> str:
    """Return the digest by which two requests under one key are told apart."""
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


_RECORD = TypeAdapter(IdempotencyRecord)
