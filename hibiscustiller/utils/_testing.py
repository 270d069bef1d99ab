"""Adapter that collects plain test functions for unittest."""

import inspect
import unittest
from collections.abc import Callable
from types import ModuleType
from typing import Any, TypeVar

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
