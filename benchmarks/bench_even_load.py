"""Methods of choosing among servers by old load reports, compared in a model.

Each figure is the mean over several seeds, for each size of the fleet, age of the
reports and kind of load. The model has no network and takes no real time.
"""

import sys
from dataclasses import fields, replace
from pathlib import Path
from statistics import fmean

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks._load import print_figure
from hibiscustiller.layers.tests.stale_load_model import METHODS, Case, Model, Result

SEEDS = range(1, 4)
BURST = {"load": 0.4, "burst": 2.5, "lost": 2}
# The period is twice the mean age of the reports.
CASES = {
    "7 routers, 0.2 s": Case(7, 0.4),
    "60 routers, 0.75 s": Case(60, 1.5),
    "60 routers, 0.75 s, burst and loss": Case(60, 1.5, **BURST),
    "60 routers, 5 s": Case(60, 10.0),
    "300 routers, 0.2 s": Case(300, 0.4),
    "300 routers, 3.75 s": Case(300, 7.5),
    "300 routers, 3.75 s, load 0.3": Case(300, 7.5, load=0.3),
    "300 routers, 3.75 s, burst and loss": Case(300, 7.5, **BURST),
    "300 routers, 5 s, load 0.8": Case(300, 10.0, load=0.8),
}


def main() -> None:
    """Print the mean results of each method in each case."""
    for case_name, case in CASES.items():
        for method_name, method in METHODS.items():
            results = [Model(replace(case, seed=seed)).run(method) for seed in SEEDS]
            for field in fields(Result):
                mean = fmean(getattr(result, field.name) for result in results)
                unit = "ratio" if field.name == "peak" else "share"
                name = f"{method_name}, {case_name}: {field.name}"
                print_figure(name, mean, unit)


if __name__ == "__main__":
    main()
