"""Tells for how long nobody has started a task of a service, when its scheduler changes."""

from __future__ import annotations

from shallotworks.logs import StructuredLog
from shallotworks.store import HeldLease

__all__ = ["FirstStart"]


class FirstStart:
    """Logs the first start of an epoch.

    Args:
        service: The service.
        lease: The service's lease.
        begun_s: Time of the epoch's begin, on the lease's clock.
        log: Receives the line.
    """

    __slots__ = ("_begun_s", "_is_noted", "_lease", "_log", "_service")

    def __init__(
        self, *, service: str, lease: HeldLease, begun_s: float, log: StructuredLog
    ) -> None:
        self._service = service
        self._lease = lease
        self._begun_s = begun_s
        self._log = log
        self._is_noted = False

    def note(self, now_s: float) -> None:
        """Note that a task is started; only the first time matters."""
        if self._is_noted:
            return
        self._is_noted = True
        freed_s = self._lease.free_since_s
        self._log.line(
            "first-start",
            service=self._service,
            token=self._lease.token,
            since_freed_s=None if freed_s is None else round(now_s - freed_s, 3),
            since_begun_s=round(now_s - self._begun_s, 3),
        )
