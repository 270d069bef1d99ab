"""Run the randomised fault scenario over many seeds; exit 1 on a broken promise."""

import sys
from collections import Counter
from pathlib import Path

import click
import curio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from hibiscustiller.serving.tests.scenario import Scenario


@click.command()
@click.option("--first-seed", default=1000, show_default=True)
@click.option("--seeds", default=20, show_default=True, help="Number of runs.")
@click.option("--requests", default=60, show_default=True, help="Requests a run.")
@click.option("--rounds", default=6, show_default=True, help="Rounds of faults a run.")
@click.option("--fault", "faults", multiple=True, help="Only these faults.")
@click.option("--without", multiple=True, help="All but these faults.")
def main(
    first_seed: int,
    seeds: int,
    requests: int,
    rounds: int,
    faults: tuple[str, ...],
    without: tuple[str, ...],
) -> None:
    """Run the scenario with all or some faults for consecutive seeds."""
    totals: Counter[str] = Counter()
    broken = 0
    known = tuple(Scenario(0, ()).list_faults())
    for name in {*faults, *without}.difference(known):
        raise click.BadParameter(f"{name!r}; accepted are {', '.join(known)}")
    fault_names = tuple(n for n in faults or known if n not in without)
    for seed in range(first_seed, first_seed + seeds):
        scenario = Scenario(seed, fault_names)
        outcomes = curio.run(scenario.run, requests, rounds)
        totals += outcomes.answers_by_kind
        for problem in outcomes.problems:
            click.echo(f"seed {seed}: {problem}")
        broken += bool(outcomes.problems)
    for kind, count in sorted(totals.items()):
        click.echo(f"{kind}: {count}")
    click.echo(f"{seeds - broken} of {seeds} seeds without a problem")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
