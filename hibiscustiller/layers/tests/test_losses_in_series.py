"""Engines that are lost and come back one after the other, planned without a network.

A domain that unused engines cannot repair is placed anew, which loads the layers of
most of its engines. Loads that the next engine's return undoes are lost, and only some
loads run at the same time.
"""

import sys
from dataclasses import replace
from datetime import timedelta

from hibiscustiller.layers import EngineGroup, LayerPlacer
from hibiscustiller.layers.tests.fixtures import (
    EMPTY_RANGE,
    SPEC,
    apply_changes,
    make_domain,
)
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
TICK = 0.15 * SECOND


class Bench:
    """One domain whose engines carry out their orders at once.

    :param counts: its engines by kind, the fastest first.
    """

    def __init__(self, *counts):
        self.clock = ManualClock()
        self.placer = LayerPlacer(
            None, None, None, None, None, self.clock, None, SECOND
        )
        self.engines = make_domain("north", *counts)
        self.lost = set()
        self.orders = []
        self.run(3.0)
        assert self.orders
        del self.orders[:]

    def run(self, seconds):
        """Plan at each tick for some time."""
        until = self.clock.monotonic() + seconds * SECOND
        while self.clock.monotonic() < until:
            present = [e for e in self.engines if e.id not in self.lost]
            changes = self.placer._plan_changes(EngineGroup(SPEC, tuple(present)))
            self.orders += changes.items()
            self.engines = apply_changes(self.engines, changes)
            self.clock.advance(TICK)

    def lose(self, *server_ids):
        """Let engines end; they have lost their layers when they are back."""
        self.lost |= set(server_ids)
        self.engines = [
            replace(engine, layers=EMPTY_RANGE) if engine.id in server_ids else engine
            for engine in self.engines
        ]

    def list_serving(self):
        """Return the layers that are held by engines that are there."""
        return {
            layer
            for engine in self.engines
            if engine.id not in self.lost
            for layer in range(engine.layers.first, engine.layers.end)
        }


def test_engines_that_return_one_after_the_other_are_placed_once():
    """Guards against loads that the next engine's return makes useless."""
    bench = Bench(2, 4, 2)
    victims = ["north-large-0", "north-large-1", "north-medium-0"]
    bench.lose(*victims)
    bench.run(0.3)
    for victim in victims:
        bench.lost.remove(victim)
        bench.run(0.3)
    bench.run(2.0)
    assert bench.list_serving() == set(range(SPEC.layers))
    # Each layer needs to be loaded once at most.
    loaded = sum(layers.width for _, layers in bench.orders)
    assert loaded <= SPEC.layers, bench.orders


def test_a_domain_is_placed_although_engines_come_and_go_all_the_time():
    """Guards against a domain that stands still for the length of a release."""
    bench = Bench(2, 10, 4)
    bench.lose("north-large-0", "north-large-1")
    bench.run(0.3)
    for number in range(5):
        bench.lose(f"north-slow-{number % 2}")
        bench.run(0.3)
        bench.lost.discard(f"north-slow-{number % 2}")
        bench.run(0.3)
    assert bench.orders
    bench.run(3.0)
    assert bench.list_serving() == set(range(SPEC.layers))


def test_unused_engines_repair_a_domain_at_once():
    """Guards against a wait where nothing has to be moved."""
    bench = Bench(2, 10, 4)
    used = [engine for engine in bench.engines if engine.kind == "medium"]
    victim = next(engine for engine in used if engine.layers.width)
    bench.lose(victim.id)
    bench.run(0.2)
    assert [layers for _, layers in bench.orders] == [victim.layers]


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
