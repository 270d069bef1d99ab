"""Packages of the platform daemon import only those below them."""

import ast
import sys
from pathlib import Path

import hibiscustiller
from hibiscustiller.utils._testing import collect_tests

ROOT = Path(hibiscustiller.__file__).parent
# Lower packages first. The packages of the product's own router are not in it yet.
ORDER = (
    "utils",
    "settings",
    "wire",
    "fleet",
    "platform",
    "leadership",
    "discovery",
    "layers",
    "ingress",
)


def list_imports(path):
    """Return the packages that a module imports when it is loaded."""
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split(".")
            if parts[0] == "hibiscustiller" and len(parts) > 1:
                found.add(parts[1])
    return found


def test_packages_import_only_lower_ones():
    """Guards against circles, in which no part can be understood by itself."""
    wrong = []
    for rank, package in enumerate(ORDER):
        higher = set(ORDER[rank + 1 :])
        for path in (ROOT / package).glob("*.py"):
            wrong += [f"{path.name}: {name}" for name in list_imports(path) & higher]
    assert wrong == []


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
