"""Names of the HTTP headers exchanged among callers, this system and targets.

Source: `docs/protocol-callers.md` and `docs/protocol-worker.md`.
"""

__all__ = [
    "ATTEMPT",
    "CLASS",
    "DEADLINE_MS",
    "ERROR_KIND",
    "HOP_BY_HOP",
    "IDEMPOTENCY_KEY",
    "IDEMPOTENT",
    "RAN",
    "REQUEST_ID",
    "SERVICE",
    "TEAM",
]

SERVICE = "Shallot-Service"
CLASS = "Shallot-Class"
TEAM = "Shallot-Team"
DEADLINE_MS = "Shallot-Deadline-Ms"
IDEMPOTENT = "Shallot-Idempotent"
IDEMPOTENCY_KEY = "Idempotency-Key"
REQUEST_ID = "Shallot-Request-Id"
ATTEMPT = "Shallot-Attempt"
ERROR_KIND = "Shallot-Error-Kind"
RAN = "Shallot-Ran"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Lower-case names of headers that apply to one connection and are never forwarded."""
