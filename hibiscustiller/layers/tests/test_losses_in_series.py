"""Plans for engines that are lost and return one after the other, without a network.

A domain that unused engines cannot repair gets a new plan, which loads layers at most
of its engines. A load is wasted if the return of the next engine makes it unnecessary,
and only a limited number of loads run concurrently.
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
    """One domain whose engines load ordered layers immediately.

    :param counts: number of engines of each kind, fastest kind first.
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
        """Run the planner at each tick for a time in seconds."""
        until = self.clock.monotonic() + seconds * SECOND
        while self.clock.monotonic() < until:
            present = [e for e in self.engines if e.id not in self.lost]
            changes = self.placer._plan_changes(EngineGroup(SPEC, tuple(present)))
            self.orders += changes.items()
            self.engines = apply_changes(self.engines, changes)
            self.clock.advance(TICK)

    def lose(self, *server_ids):
        """Stop engines; they hold no layers when they return."""
        self.lost |= set(server_ids)
        self.engines = [
            replace(engine, layers=EMPTY_RANGE) if engine.id in server_ids else engine
            for engine in self.engines
        ]

    def list_serving(self):
        """Return the layers held by the engines that are present."""
        return {
            layer
            for engine in self.engines
            if engine.id not in self.lost
            for layer in range(engine.layers.first, engine.layers.end)
        }


def test_engines_that_return_one_after_the_other_are_placed_once():
    """Guards against loads made unnecessary by the return of the next engine."""
    bench = Bench(2, 4, 2)
    victims = ["north-large-0", "north-large-1", "north-medium-0"]
    bench.lose(*victims)
    bench.run(0.3)
    for victim in victims:
        bench.lost.remove(victim)
        bench.run(0.3)
    bench.run(2.0)
    assert bench.list_serving() == set(range(SPEC.layers))
    # No layer needs to be loaded more than once.
    loaded = sum(layers.width for _, layers in bench.orders)
    assert loaded <= SPEC.layers, bench.orders


def test_a_domain_is_placed_although_engines_come_and_go_all_the_time():
    """Guards against a domain without service for the duration of a release."""
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
    """Guards against a delay when no engine in use has to load other layers."""
    bench = Bench(2, 10, 4)
    used = [engine for engine in bench.engines if engine.kind == "medium"]
    victim = next(engine for engine in used if engine.layers.width)
    bench.lose(victim.id)
    bench.run(0.2)
    assert [layers for _, layers in bench.orders] == [victim.layers]


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
