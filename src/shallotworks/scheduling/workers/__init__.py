"""Workers: what is known of one worker from its reports, and what follows for its tasks.

`CrashBlame` tells which tasks may have crashed a worker, and `Isolation` starts those apart from
others. This package gives no orders and uses no network.
"""

from ._crash_blame import CrashBlame
from ._isolation import Isolation

__all__ = ["CrashBlame", "Isolation"]
