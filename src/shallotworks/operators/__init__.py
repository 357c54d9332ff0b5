"""The operators' API of one instance: HTTP and JSON under ``/v1``, a port and a token of its own.

It checks who calls and what is asked, hands that to an `OperatorBackend` on the event loop, and
writes the answer. It decides nothing about the fleet, and it never acts on a plan.
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
