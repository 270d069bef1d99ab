"""Run the soak test over many seeds; exit with 1 if a guarantee is violated."""

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
@click.option("--seeds", default=10, show_default=True, help="Number of seeds to run.")
@click.option(
    "--length",
    default=8.0,
    show_default=True,
    help="Time during which faults are injected, in seconds.",
)
@click.option(
    "--fault",
    "names",
    multiple=True,
    help="Inject only this fault; can be given several times.",
)
@click.option("--keep", is_flag=True, help="Keep the logs of all runs.")
def main(
    first_seed: int, seeds: int, length: float, names: tuple[str, ...], keep: bool
) -> None:
    """Run consecutive seeds, and keep the logs of runs with problems."""
    configure_logging("error")
    totals: Counter = Counter()
    broken = 0
    for seed in range(first_seed, first_seed + seeds):
        result = run_seed(seed, length, list(names) or None)
        totals += result.calls
        for problem in result.problems:
            click.echo(f"seed {seed}: {problem}")
        broken += bool(result.problems)
        if result.problems or keep:
            click.echo(f"seed {seed}: logs in {result.directory}")
        else:
            shutil.rmtree(result.directory)
        click.echo(f"seed {seed}: {len(result.problems)} problems")
    for (kind, status), count in sorted(totals.items()):
        click.echo(f"{kind} {status}: {count}")
    click.echo(f"{seeds - broken} of {seeds} seeds without a problem")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
