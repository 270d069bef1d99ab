"""Randomised runs of the real programs on loopback, with faults from outside."""

from hibiscustiller.ingress.tests.soak.run import Soak, run_seed

__all__ = ["Soak", "run_seed"]
