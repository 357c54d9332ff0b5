"""Teams: what each team may use, over all services, and its turn when capacity is short.

`TeamLimits` and `TeamShares` keep a team within its limit, and `TeamWeights` ranks its jobs. This
package orders and limits tasks; it never drops a job that was accepted.
"""

from ._team_limits import TEAM_RECORDS_PREFIX, TeamLimits
from ._team_monitor import TeamMonitor
from ._team_rooms import TeamRooms
from ._team_shares import TeamShares
from ._team_use import TeamUse
from ._team_weights import TeamWeights

__all__ = [
    "TEAM_RECORDS_PREFIX",
    "TeamLimits",
    "TeamMonitor",
    "TeamRooms",
    "TeamShares",
    "TeamUse",
    "TeamWeights",
]
