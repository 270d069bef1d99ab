"""Collection of test functions for unittest."""

import inspect
import unittest
from collections.abc import Callable, Coroutine
from types import ModuleType
from typing import Any

import curio


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


def _make_case(function: Callable[..., Any], name: str) -> unittest.TestCase:
    if inspect.iscoroutinefunction(function):
        run = _make_runner(function)
    else:
        run = function
    return _NamedCase(run, name)


def _make_runner(
    function: Callable[[], Coroutine[Any, Any, None]],
) -> Callable[[], None]:
    def run() -> None:
        curio.run(function)

    return run


class _NamedCase(unittest.FunctionTestCase):
    """A function test case known by the function's full name."""

    def __init__(self, function: Callable[[], None], name: str) -> None:
        super().__init__(function, description=name)
        self._name = name

    def id(self) -> str:
        return self._name

    def __str__(self) -> str:
        return self._name
