"""The operators' API of one instance: HTTP and JSON under ``/v1``, with its own port and token.

The server authenticates and validates each call, runs it on the event loop through an
`OperatorBackend` and writes the response. It makes no decision about the fleet and never executes
a plan.
"""

from ._calls import ErrorBody
from ._openapi import describe_api
from ._protocols import OperatorBackend
from ._server import OperatorsServer
from ._views import (
    ChangesView,
    DataCentresView,
    HistoryView,
    InstancesView,
    PeerState,
    PeerView,
    PlansView,
    PlanView,
    PoolsView,
    PoolView,
    RestoredView,
    ServicesView,
    ServiceView,
    StatusView,
    TeamsView,
    plan_view,
)

__all__ = [
    "ChangesView",
    "DataCentresView",
    "ErrorBody",
    "HistoryView",
    "InstancesView",
    "OperatorBackend",
    "OperatorsServer",
    "PeerState",
    "PeerView",
    "PlanView",
    "PlansView",
    "PoolView",
    "PoolsView",
    "RestoredView",
    "ServiceView",
    "ServicesView",
    "StatusView",
    "TeamsView",
    "describe_api",
    "plan_view",
]
