"""Handlers that propose, show, confirm and cancel plans."""

from __future__ import annotations

from pydantic import TypeAdapter
from returns.result import Failure as Err

from shallotworks.errors import Failure
from shallotworks.plans import Intent

from ._bridge import EventLoopBridge
from ._calls import ApiResponse, Call, Outcome, Refusal, json_response
from ._invalid import read_body
from ._protocols import OperatorBackend
from ._views import PlansView, PlanView

__all__ = ["PlanHandlers"]


class PlanHandlers:
    """Passes the plan calls of operators to the instance.

    Args:
        backend: The instance.
        bridge: Runs the backend's coroutines on the event loop.
    """

    __slots__ = ("_backend", "_bridge")

    def __init__(self, *, backend: OperatorBackend, bridge: EventLoopBridge) -> None:
        self._backend = backend
        self._bridge = bridge

    def propose(self, call: Call) -> Outcome:
        """Propose a plan for an intent and return it."""
        intent = read_body(_INTENT_ADAPTER, call.body)
        if isinstance(intent, Err):
            return Err(Refusal(failure=intent.failure()))
        coroutine = self._backend.propose_plan(intent.unwrap(), operator=call.operator)
        return self._bridge.write(coroutine).map(_plan_response).alt(_refuse)

    def list_all(self, call: Call) -> Outcome:
        """Return all plans."""
        plans = self._bridge.read(self._backend.plans())
        return plans.map(lambda found: json_response(PlansView(plans=found))).alt(_refuse)

    def show(self, call: Call) -> Outcome:
        """Return one plan."""
        coroutine = self._backend.plan(call.arguments["digest"])
        return self._bridge.read(coroutine).map(_plan_response).alt(_refuse)

    def confirm(self, call: Call) -> Outcome:
        """Confirm a proposal; if it is stale, the error's reason names a new proposal."""
        coroutine = self._backend.confirm_plan(call.arguments["digest"], operator=call.operator)
        return self._bridge.write(coroutine).map(_plan_response).alt(_refuse)

    def cancel(self, call: Call) -> Outcome:
        """Cancel a confirmed plan."""
        coroutine = self._backend.cancel_plan(call.arguments["digest"], operator=call.operator)
        return self._bridge.write(coroutine).map(_plan_response).alt(_refuse)


def _plan_response(plan: PlanView) -> ApiResponse:
    return json_response(plan, about_plan=plan.plan.digest)


def _refuse(failure: Failure) -> Refusal:
    return Refusal(failure=failure)


_INTENT_ADAPTER: TypeAdapter[Intent] = TypeAdapter(Intent)
