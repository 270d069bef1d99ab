"""Run the soak of the real programs over many seeds; exit 1 on a broken promise."""

import shutil
import sys
from collections import Counter
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hibiscustiller.ingress.tests.soak import run_seed
from hibiscustiller.utils import configure_logging


@click.command()
@click.option("--first-seed", default=1, show_default=True)
@click.option("--seeds", default=10, show_default=True, help="Number of runs.")
@click.option("--length", default=8.0, show_default=True, help="Seconds of faults.")
@click.option("--fault", "names", multiple=True, help="Only these faults.")
@click.option("--keep", is_flag=True, help="Keep the logs of all runs.")
def main(
    first_seed: int, seeds: int, length: float, names: tuple[str, ...], keep: bool
) -> None:
    """Run consecutive seeds; logs of runs with problems are kept."""
    configure_logging("error")
    totals: Counter = Counter()
    broken = 0
    for seed in range(first_seed, first_seed + seeds):
        verdict = run_seed(seed, length, list(names) or None)
        totals += verdict.calls
        for problem in verdict.problems:
            click.echo(f"seed {seed}: {problem}")
        broken += bool(verdict.problems)
        if verdict.problems or keep:
            click.echo(f"seed {seed}: logs in {verdict.directory}")
        else:
            shutil.rmtree(verdict.directory)
        click.echo(f"seed {seed}: {len(verdict.problems)} problems")
    for (kind, status), count in sorted(totals.items()):
        click.echo(f"{kind} {status}: {count}")
    click.echo(f"{seeds - broken} of {seeds} seeds without a problem")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
