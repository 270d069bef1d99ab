"""Run every benchmark and write one table of results.

Each ``bench_*.py`` prints JSON lines with ``figure``, ``value``, ``unit`` and, where
there is one, ``baseline`` and ``ratio``. They run one after another, so that they do
not disturb each other.
"""

import json
import os
import platform
import subprocess
import sys
from datetime import UTC, datetime
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "docs" / "benchmark-results.md"
# No benchmark may take longer than a minute; the rest is for start and end.
TIMEOUT_SECONDS = 120


def run_benchmark(path: Path) -> list[dict[str, object]]:
    """Run one benchmark and return its figures."""
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    done = subprocess.run(
        [sys.executable, str(path)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        env=environment,
        check=False,
    )
    if done.returncode != 0:
        click.echo(done.stderr, err=True)
        return [{"figure": "failed", "value": done.returncode, "unit": "exit code"}]
    lines = [line for line in done.stdout.splitlines() if line.startswith("{")]
    return [json.loads(line) for line in lines]


def describe_machine() -> str:
    """Return one line on the machine and the interpreter."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return (
        f"{os.cpu_count()} cores ({platform.machine()}), {memory:.0f} GiB,"
        f" Python {platform.python_version()}, {platform.system()}"
    )


def format_table(figures_by_benchmark: dict[str, list[dict[str, object]]]) -> str:
    """Format all figures as one Markdown table."""
    rows = [
        "| benchmark | figure | value | baseline | ratio |",
        "|---|---|---|---|---|",
    ]
    for name, figures in figures_by_benchmark.items():
        for figure in figures:
            value = f"{_format(figure.get('value'))} {figure.get('unit', '')}".strip()
            baseline = _format(figure.get("baseline"))
            ratio = _format(figure.get("ratio"))
            cells = (name, figure.get("figure"), value, baseline, ratio)
            rows.append("| " + " | ".join(str(cell) for cell in cells) + " |")
    return "\n".join(rows)


def _format(value: object) -> str:
    if value is None:
        return ""
    return f"{value:.4g}" if isinstance(value, float) else str(value)


@click.command()
@click.argument("names", nargs=-1)
def main(names: tuple[str, ...]) -> None:
    """Run all benchmarks, or only those named (without ``bench_`` and ``.py``).

    The table is written after each one, so that an interrupted run keeps its results.
    """
    paths = sorted((ROOT / "benchmarks").glob("bench_*.py"))
    moment = datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC")
    head = f"# Benchmark results\n\n{moment}. {describe_machine()}.\n\n"
    figures_by_benchmark = {}
    for path in paths:
        name = path.stem.removeprefix("bench_")
        if names and name not in names:
            continue
        click.echo(f"running {name}", err=True)
        figures_by_benchmark[name] = run_benchmark(path)
        RESULTS.write_text(head + format_table(figures_by_benchmark) + "\n")
    click.echo(format_table(figures_by_benchmark))


if __name__ == "__main__":
    main()
