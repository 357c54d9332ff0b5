"""Runs one measurement by name, or lists them: ``python -m bench NAME``."""

import importlib
import pkgutil
import sys

import bench


def main() -> int:
    """Run the measurements named on the command line; all of them where none is named."""
    names = sorted(
        entry.name for entry in pkgutil.iter_modules(bench.__path__) if entry.name[0] != "_"
    )
    wanted = sys.argv[1:] or names
    unknown = [name for name in wanted if name not in names]
    if unknown:
        print(f"no measurement {unknown[0]}; there are: {', '.join(names)}", file=sys.stderr)
        return 2
    for name in wanted:
        print(f"== {name}", flush=True)
        importlib.import_module(f"bench.{name}").main()
    return 0


if __name__ == "__main__":
    sys.exit(main())
