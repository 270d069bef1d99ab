"""Soak test: randomised runs of the programs on loopback, with external faults."""

from hibiscustiller.ingress.tests.soak.run import Soak, run_seed

__all__ = ["Soak", "run_seed"]
