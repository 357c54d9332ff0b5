"""Measurements kept with the code; every figure in `docs/` names the one that gave it."""
