"""Collection of test functions for unittest."""

import inspect
import unittest
from collections.abc import Callable
from types import ModuleType
from typing import Any, TypeVar

import curio

from hibiscustiller.utils._invariants import violations_by_name

Function = TypeVar("Function", bound=Callable[..., Any])


def collect_tests(module: ModuleType) -> unittest.TestSuite:
    """Wrap a module's ``test_*`` functions as unittest cases.

    Coroutine functions run in a curio kernel of their own.

    :param module: a test module.
    :returns: the suite for unittest's ``load_tests`` protocol.
    """
    suite = unittest.TestSuite()
    for name, function in sorted(vars(module).items()):
        is_local = getattr(function, "__module__", None) == module.__name__
        if name.startswith("test_") and callable(function) and is_local:
            suite.addTest(_make_case(function, f"{module.__name__}.{name}"))
    return suite


def breaks_invariant(*names: str) -> Callable[[Function], Function]:
    """Declare which invariants a test breaks on purpose.

    Every other violation fails the test that it happens in.

    :param names: the invariants' names; each must be broken.
    """

    def mark(function: Function) -> Function:
        function.broken_invariants = frozenset(names)
        return function

    return mark


def _make_case(function: Callable[..., Any], name: str) -> unittest.TestCase:
    expected = getattr(function, "broken_invariants", frozenset())

    def run() -> None:
        violations_by_name.clear()
        if inspect.iscoroutinefunction(function):
            curio.run(function)
        else:
            function()
        broken = {name for name, count in violations_by_name.items() if count > 0}
        assert broken == expected, f"broken: {broken}, expected: {set(expected)}"

    return _NamedCase(run, name)


class _NamedCase(unittest.FunctionTestCase):
    """A function test case known by the function's full name."""

    def __init__(self, function: Callable[[], None], name: str) -> None:
        super().__init__(function, description=name)
        self._name = name

    def id(self) -> str:
        return self._name

    def __str__(self) -> str:
        return self._name
