"""Control of worker instances other than requests: their status, a reboot, checkpoints.

It carries out what a conductor decides and takes no decisions; see `docs/protocol-worker.md`.
"""

from ._http_control import HttpTargetControl

__all__ = ["HttpTargetControl"]
