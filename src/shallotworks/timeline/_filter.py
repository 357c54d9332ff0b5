"""Filters events."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ._events import Event, EventKind

__all__ = ["EventFilter"]


@dataclass(frozen=True, slots=True, kw_only=True)
class EventFilter:
    """Conditions on events, all of which must hold; an empty field allows every event.

    Args:
        request: Request id.
        plan: Digest of a plan, or a prefix of it.
        instance: Name of a worker instance or a peer.
        kinds: Kinds of event.
    """

    request: str = ""
    plan: str = ""
    instance: str = ""
    kinds: frozenset[EventKind] = frozenset()

    def matches(self, event: Event) -> bool:
        """Return whether an event meets every condition."""
        subject = event.subject
        return (
            (not self.request or subject.request == self.request)
            and (not self.plan or subject.plan.startswith(self.plan))
            and (not self.instance or subject.instance == self.instance)
            and (not self.kinds or event.kind in self.kinds)
        )

    def select(self, events: Iterable[Event]) -> tuple[Event, ...]:
        """Return the events that match, in their original order."""
        return tuple(event for event in events if self.matches(event))
