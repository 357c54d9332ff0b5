"""What worker instances are asked besides requests: their status, a reboot, checkpoints.

It carries out what a conductor decides and decides nothing itself; see `docs/protocol-worker.md`.
"""

from ._http_control import HttpTargetControl

__all__ = ["HttpTargetControl"]
