"""Adapter that collects plain test functions for unittest."""

import functools
import inspect
import selectors
import time
import unittest
from collections.abc import Callable
from types import ModuleType
from typing import Any, TypeVar
from unittest import mock

import curio

from hibiscustiller.utils._invariants import violations_by_name

Function = TypeVar("Function", bound=Callable[..., Any])


def collect_tests(module: ModuleType) -> unittest.TestSuite:
    """Wrap the ``test_*`` functions of a module as unittest test cases.

    Each coroutine function runs in its own curio kernel.

    :param module: test module; functions that it imports are skipped.
    :returns: test suite for the ``load_tests`` protocol of unittest.
    """
    suite = unittest.TestSuite()
    for name, function in sorted(vars(module).items()):
        is_local = getattr(function, "__module__", None) == module.__name__
        if name.startswith("test_") and callable(function) and is_local:
            suite.addTest(_make_test_case(function, f"{module.__name__}.{name}"))
    return suite


class _SimulatedTime(selectors.DefaultSelector):
    """Selector whose waits take no real time: the clocks are set forward instead."""

    def __init__(self) -> None:
        super().__init__()
        self._now = time.monotonic()

    def get_time(self, clock: object = None) -> float:
        """Return the simulated time, in seconds, of any of the system's clocks."""
        return self._now

    def select(self, timeout: float | None = None) -> list[Any]:
        events = super().select(0)
        if not events and timeout is not None:
            self._now += max(0.0, timeout)
        return events


def in_simulated_time(function: Function) -> Function:
    """Run a coroutine function in simulated time, as a function.

    Waits end at once and the processor time of the test counts as none, so that the
    figures that it measures do not depend on the machine. It must not do I/O.
    """

    @functools.wraps(function)
    def run() -> None:
        selector = _SimulatedTime()
        with (
            mock.patch("time.monotonic", selector.get_time),
            mock.patch("time.clock_gettime", selector.get_time),
        ):
            curio.run(function, selector=selector)

    # Otherwise it would be taken for a coroutine function.
    del run.__wrapped__
    return run  # type: ignore[return-value]


def breaks_invariant(*names: str) -> Callable[[Function], Function]:
    """Declare the invariants that a test violates on purpose.

    A test fails if it violates any other invariant or does not violate a declared one.

    :param names: names of the invariants.
    """

    def decorate(function: Function) -> Function:
        function.broken_invariants = frozenset(names)
        return function

    return decorate


def _make_test_case(function: Callable[..., Any], name: str) -> unittest.TestCase:
    expected = getattr(function, "broken_invariants", frozenset())

    def run() -> None:
        violations_by_name.clear()
        if inspect.iscoroutinefunction(function):
            curio.run(function)
        else:
            function()
        broken = {name for name, count in violations_by_name.items() if count > 0}
        assert broken == expected, f"broken: {broken}, expected: {set(expected)}"

    return _NamedTestCase(run, name)


class _NamedTestCase(unittest.FunctionTestCase):
    """Function test case whose ID is the full name of the function."""

    def __init__(self, function: Callable[[], None], name: str) -> None:
        super().__init__(function, description=name)
        self._name = name

    def id(self) -> str:
        return self._name

    def __str__(self) -> str:
        return self._name
