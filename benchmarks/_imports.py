"""Memory that imports add, measured in this process, which imports little else.

Arguments are names of modules; prints one JSON list with a row for each.
"""

import importlib
import json
import sys


def read_memory_kb(name: str) -> int:
    """Return a figure of this process's memory, such as ``RssAnon``."""
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            if line.startswith(f"{name}:"):
                return int(line.split()[1])
    raise KeyError(name)


def import_in_order(modules: list[str]) -> list[dict]:
    """Import modules and return what each added."""
    rows = []
    for module in modules:
        before = read_memory_kb("VmRSS"), read_memory_kb("RssAnon")
        importlib.import_module(module)
        total = read_memory_kb("VmRSS")
        rows.append(
            {
                "module": module,
                "resident_kb": total - before[0],
                "private_kb": read_memory_kb("RssAnon") - before[1],
                "total_kb": total,
            }
        )
    return rows


if __name__ == "__main__":
    print(json.dumps(import_in_order(sys.argv[1:])))
