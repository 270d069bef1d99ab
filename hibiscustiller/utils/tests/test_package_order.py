"""Test of the import order of the platform daemon's packages."""

import ast
import sys
from pathlib import Path

import hibiscustiller
from hibiscustiller.utils._testing import collect_tests

ROOT = Path(hibiscustiller.__file__).parent
# Each of these packages may import only those of them that are listed before it. The
# packages of the product's own router are not listed yet.
PACKAGES_LOWEST_FIRST = (
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


def find_imported_packages(path):
    """Return the packages of this project that a module imports at its top level."""
    packages = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split(".")
            if parts[0] == "hibiscustiller" and len(parts) > 1:
                packages.add(parts[1])
    return packages


def test_packages_import_only_lower_packages():
    """Guards against import cycles, whose packages cannot be understood separately."""
    violations = []
    for index, package in enumerate(PACKAGES_LOWEST_FIRST):
        higher = set(PACKAGES_LOWEST_FIRST[index + 1 :])
        for path in (ROOT / package).glob("*.py"):
            violations += [
                f"{path.name}: {name}" for name in find_imported_packages(path) & higher
            ]
    assert violations == []


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
