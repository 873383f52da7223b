"""Run one experiment by its name, or list them all.

An experiment is a module of the package ``bench`` with a docstring and a function
``run(arguments: list[str]) -> int``. It prints one JSON object a line.
"""

import importlib
import pkgutil
import sys
import types

import bench

USAGE = "usage: sh scripts/bench NAME [ARGUMENT ...] | --list"
EXIT_USAGE = 2


def experiments() -> dict[str, types.ModuleType]:
    """Import the modules of ``bench`` and return the experiments by name."""
    modules_by_name = {}
    for info in pkgutil.iter_modules(bench.__path__):
        if info.name.startswith("_"):
            continue
        module = importlib.import_module(f"bench.{info.name}")
        if callable(getattr(module, "run", None)):
            modules_by_name[info.name] = module
    return modules_by_name


def summary(module: types.ModuleType) -> str:
    """Return the first line of a module's docstring."""
    return (module.__doc__ or "").strip().split("\n")[0]


def main(arguments: list[str]) -> int:
    """Run the named experiment and return its exit code."""
    if not arguments or arguments[0] in {"-h", "--help"}:
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    modules_by_name = experiments()
    if arguments[0] == "--list":
        for name, module in sorted(modules_by_name.items()):
            print(f"{name:18} {summary(module)}")
        return 0
    module = modules_by_name.get(arguments[0].replace("-", "_"))
    if module is None:
        names = ", ".join(sorted(modules_by_name))
        print(f"no experiment {arguments[0]!r}; known are: {names}", file=sys.stderr)
        return EXIT_USAGE
    return module.run(arguments[1:])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
