"""Duties: which instance schedules which service, and which one controls the machines.

`LeaderElector` bids for the leases and runs an epoch for each lease that it wins. `Succession`
decides which instance may claim the lease of a holder that it would relieve, and when; the holder
agrees by ending its epoch. `ServiceRoster` says which services are scheduled. This package decides
who acts, never what is done.
"""

from ._leader_elector import LeaderElector
from ._lease_holder import LeaseHolder, SuccessionClaim
from ._service_roster import ServiceRoster
from ._succession import Succession

__all__ = ["LeaderElector", "LeaseHolder", "ServiceRoster", "Succession", "SuccessionClaim"]
