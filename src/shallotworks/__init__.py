"""Shallotworks: fleet capacity and maintenance for many small edge sites.

The package is a library; `shallotworks.cli` and `shallotworks.node` provide the executables.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
