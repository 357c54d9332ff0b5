"""Handlers that propose, show, confirm and cancel plans."""

from __future__ import annotations

from pydantic import TypeAdapter
from returns.result import Failure as Err

from shallotworks.errors import Failure
from shallotworks.plans import Intent

from ._bridge import EventLoopBridge
from ._calls import Answered, Call, Outcome, Refused, answer_json
from ._invalid import read_body
from ._protocols import OperatorBackend
from ._views import PlansView, PlanView

__all__ = ["PlanHandlers"]


class PlanHandlers:
    """Hands what operators want of plans to the instance.

    Args:
        backend: The instance.
        bridge: The way into its event loop.
    """

    __slots__ = ("_backend", "_bridge")

    def __init__(self, *, backend: OperatorBackend, bridge: EventLoopBridge) -> None:
        self._backend = backend
        self._bridge = bridge

    def propose(self, call: Call) -> Outcome:
        """Answer a proposal for an intent."""
        intent = read_body(_INTENT, call.body)
        if isinstance(intent, Err):
            return Err(Refused(failure=intent.failure()))
        work = self._backend.propose_plan(intent.unwrap(), operator=call.operator)
        return self._bridge.write(work).map(_answer).alt(_refuse)

    def list_all(self, call: Call) -> Outcome:
        """Answer all plans."""
        plans = self._bridge.read(self._backend.plans())
        return plans.map(lambda found: answer_json(PlansView(plans=found))).alt(_refuse)

    def show(self, call: Call) -> Outcome:
        """Answer one plan."""
        work = self._backend.plan(call.arguments["digest"])
        return self._bridge.read(work).map(_answer).alt(_refuse)

    def confirm(self, call: Call) -> Outcome:
        """Confirm a proposal; where it is stale, the reason names a new one."""
        work = self._backend.confirm_plan(call.arguments["digest"], operator=call.operator)
        return self._bridge.write(work).map(_answer).alt(_refuse)

    def cancel(self, call: Call) -> Outcome:
        """Cancel a confirmed plan."""
        work = self._backend.cancel_plan(call.arguments["digest"], operator=call.operator)
        return self._bridge.write(work).map(_answer).alt(_refuse)


def _answer(plan: PlanView) -> Answered:
    return answer_json(plan, about_plan=plan.plan.digest)


def _refuse(failure: Failure) -> Refused:
    return Refused(failure=failure)


_INTENT: TypeAdapter[Intent] = TypeAdapter(Intent)
