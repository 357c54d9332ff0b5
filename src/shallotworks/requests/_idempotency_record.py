"""Record of one idempotency key, as stored in the platform's key-value store."""

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
    """State of the single run of a key."""

    CLAIMED = "claimed"
    """A process may run the request and may be running it now."""
    DONE = "done"
    """The request ran and was answered."""
    UNKNOWN = "unknown"
    """The request was sent and its outcome is not known."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """A target's answer in a form that JSON can represent.

    Args:
        status: HTTP status.
        headers: Headers.
        body: The body, encoded in base64.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str

    @classmethod
    def of(cls, response: Response) -> StoredAnswer:
        """Convert a response to its stored form."""
        body = base64.b64encode(response.body).decode("ascii")
        return cls(status=response.status, headers=response.headers, body=body)

    def response(self) -> Response:
        """Convert the stored answer back to a response."""
        body = base64.b64decode(self.body)
        return Response(status=self.status, headers=self.headers, body=body)


@dataclass(frozen=True, slots=True, kw_only=True)
class IdempotencyRecord:
    """Record of one idempotency key.

    Args:
        state: State of the run.
        request_digest: Digest of the request that claimed the key.
        claim_id: Unique id of the claim; identifies the record if the acknowledgement of its create
            was lost.
        owner: Name of the process that claimed the key.
        answer: The answer, if the run is done and the answer is within the size limit.
        answer_digest: SHA-256 digest of the answer's body, if the run is done.
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
        """Parse a record; raises ``pydantic.ValidationError`` if the data is not a valid record."""
        return _RECORD.validate_json(data)


def key_of(request: Request) -> str:
    """Return the key of a request's record in the platform's key-value store."""
    key_digest = hashlib.sha256(request.idempotency_key.encode()).hexdigest()
    return f"{KEY_PREFIX}/{request.team or NO_TEAM}/{request.service}/{key_digest}"


def digest_of(request: Request) -> str:
    """Return the digest that distinguishes two requests under the same key."""
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.path.encode(), request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


_RECORD = TypeAdapter(IdempotencyRecord)
