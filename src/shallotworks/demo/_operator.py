"""Client of the demo for the operators' API of one entry instance."""

from __future__ import annotations

from collections.abc import Sequence

import urllib3
from pydantic import TypeAdapter

from shallotworks.fleet import Change
from shallotworks.operators import InstancesView, PlanView, StatusView
from shallotworks.plans import Intent, encode_intent

__all__ = ["DemoOperator"]

OPERATOR_NAME = "kari"
READ_TIMEOUT_S = 35.0
FIRST_HTTP_ERROR_STATUS = 400

_CHANGES_ADAPTER: TypeAdapter[list[Change]] = TypeAdapter(list[Change])
_PLAN_ADAPTER = TypeAdapter(PlanView)
_INSTANCES_ADAPTER = TypeAdapter(InstancesView)
_STATUS_ADAPTER = TypeAdapter(StatusView)


class DemoOperator:
    """Calls the operators' API of one entry instance, as the command line does.

    Every method that calls the API raises `RuntimeError` for an HTTP status of 400 or higher.

    Args:
        port: Operators' port of the entry instance.
        token: Operators' token.
    """

    def __init__(self, *, port: int, token: str) -> None:
        self._base = f"http://127.0.0.1:{port}/v1"
        self._headers = {
            "Authorization": f"Bearer {token}",
            "Operator": OPERATOR_NAME,
            "Content-Type": "application/json",
        }
        self._http = urllib3.PoolManager(retries=False, timeout=READ_TIMEOUT_S)

    def close(self) -> None:
        """Close the connections."""
        self._http.clear()

    def apply(self, changes: Sequence[Change]) -> None:
        """Append changes to the configuration."""
        self._call("POST", "/changes", _CHANGES_ADAPTER.dump_json(list(changes)))

    def status(self) -> StatusView:
        """Return the status of the entry instance."""
        return _STATUS_ADAPTER.validate_json(self._call("GET", "/status"))

    def instances(self) -> InstancesView:
        """Return all worker instances."""
        return _INSTANCES_ADAPTER.validate_json(self._call("GET", "/instances"))

    def propose(self, intent: Intent) -> PlanView:
        """Request a plan for an intent."""
        return _PLAN_ADAPTER.validate_json(self._call("POST", "/plans", encode_intent(intent)))

    def confirm(self, digest: str) -> PlanView:
        """Confirm a plan."""
        return _PLAN_ADAPTER.validate_json(self._call("POST", f"/plans/{digest}/confirm"))

    def plan(self, digest: str) -> PlanView:
        """Return a plan with its current state."""
        return _PLAN_ADAPTER.validate_json(self._call("GET", f"/plans/{digest}"))

    def timeline(self) -> bytes:
        """Return the events of the entry instance as JSON."""
        return self._call("GET", "/timeline")

    def _call(self, method: str, path: str, body: bytes | None = None) -> bytes:
        answer = self._http.request(method, self._base + path, body=body, headers=self._headers)
        if answer.status >= FIRST_HTTP_ERROR_STATUS:
            raise RuntimeError(
                f"{method} {path} failed with {answer.status}: {answer.data.decode()}"
            )
        return answer.data
