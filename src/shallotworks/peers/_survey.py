"""Questions to all connected peers for the revision that they hold, carried by heartbeats."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from shallotworks.config import HeldRevision
from shallotworks.metrics import Metrics
from shallotworks.protocol import Heartbeat

from ._link import Link

__all__ = ["Survey"]

ANSWER_TIMEOUT_S = 0.3
"""Longest wait for the answers to one question; a round trip between regions takes less."""


class Survey:
    """Asks the connected peers which revision they hold.

    A peer that doesn't answer in time holds nobody up: until it has answered, later questions don't
    wait for it. Peers of a release that doesn't know questions never answer.

    Args:
        links: Returns the open connections.
        metrics: Counts questions and missing answers, under ``peers.survey``.
    """

    __slots__ = ("_answers", "_changed", "_last_question", "_links", "_metrics")

    def __init__(self, *, links: Callable[[], Iterable[Link]], metrics: Metrics) -> None:
        self._links = links
        self._metrics = metrics
        self._last_question = 0
        self._answers: dict[Link, HeldRevision] = {}
        """The last answer on each open connection."""
        self._changed = asyncio.Event()

    async def held_revisions(self) -> tuple[HeldRevision, ...]:
        """Ask all connected peers; return the answers that arrive in time."""
        self._last_question += 1
        question = self._last_question
        asked = list(self._links())
        awaited = [link for link in asked if link.answered_question == link.asked_question]
        for link in asked:
            link.asked_question = question
            link.send_heartbeat_now()
        self._metrics.count("peers.survey.questions")
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while any(_owes_answer(link, question) for link in awaited):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            self._metrics.count("peers.survey.unanswered")
        return tuple(
            self._answers[link]
            for link in asked
            if link.answered_question >= question and link in self._answers
        )

    def on_heartbeat(self, link: Link, message: Heartbeat) -> None:
        """Answer a peer's question, and record its answer to this process's question."""
        if message.question > link.peer_question:
            link.peer_question = message.question
            link.send_heartbeat_now()
        if message.answer > link.answered_question:
            link.answered_question = message.answer
            self._answers[link] = HeldRevision(
                revision=message.revision, change_id=message.change_id
            )
            self._changed.set()

    def discard_link(self, link: Link) -> None:
        """Stop waiting for the peer of a connection that has ended."""
        self._answers.pop(link, None)
        self._changed.set()


def _owes_answer(link: Link, question: int) -> bool:
    return link.end is None and link.answered_question < question
