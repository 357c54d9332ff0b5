"""Command line that runs measurements by name: ``python -m bench [NAME ...]``."""

import importlib
import pkgutil
import sys

import bench


def main() -> int:
    """Run the measurements named on the command line, or all if none is named.

    Returns:
        The exit status: 2 if a name is unknown.
    """
    names = sorted(
        entry.name for entry in pkgutil.iter_modules(bench.__path__) if entry.name[0] != "_"
    )
    wanted = sys.argv[1:] or names
    unknown = [name for name in wanted if name not in names]
    if unknown:
        print(f"unknown measurement {unknown[0]}; known are: {', '.join(names)}", file=sys.stderr)
        return 2
    for name in wanted:
        print(f"== {name}", flush=True)
        importlib.import_module(f"bench.{name}").main()
    return 0


if __name__ == "__main__":
    sys.exit(main())
