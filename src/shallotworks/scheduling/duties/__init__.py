"""Duties: which instance schedules which service, and which one controls the machines.

`LeaderElector` bids for the leases and runs an epoch for each lease that it wins. This package
decides who acts, never what is done.
"""

from ._leader_elector import LeaderElector

__all__ = ["LeaderElector"]
