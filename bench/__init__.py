"""Measurements; every figure in `docs/` names the measurement that it comes from."""
