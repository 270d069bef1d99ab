"""Run all tests and print the closing line ``N passed, N failed``.

Tests named in KNOWN-RED.txt are run and printed; their failures alone do not make
the run fail. A run without any test fails.
"""

import sys
import unittest
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> frozenset[str]:
    """Return the ids of tests that are known to fail: the first word of an entry."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.split()[0] for line in lines if line and not line.startswith((" ", "#"))
    )


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Run all tests, or only the named test modules."""
    sys.path.insert(0, str(ROOT))
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "hibiscustiller"), top_level_dir=str(ROOT))
    runner = unittest.TextTestRunner(verbosity=1, stream=sys.stdout)
    result = runner.run(suite)
    broken = {case.id() for case, _ in result.failures + result.errors}
    known = read_known_red()
    for name in sorted(broken & known):
        click.echo(f"known red: {name}")
    for name in sorted(broken - known):
        click.echo(f"failed: {name}")
    failed = len(broken - known)
    passed = result.testsRun - len(broken)
    click.echo(f"{passed} passed, {failed} failed")
    if failed or result.testsRun == 0:
        sys.exit(1)


if __name__ == "__main__":
    main()
