"""Deadlines on waiting, for curio's cancellation model."""

import types
from collections.abc import Coroutine, Generator
from datetime import timedelta
from typing import Any, TypeVar

import curio

Value = TypeVar("Value")


async def wait_at_most(
    delay: timedelta, coroutine: Coroutine[Any, Any, Value]
) -> Value:
    """Await a coroutine for a limited time.

    curio's timeout derives from BaseException and passes through ``except
    Exception``; the built-in class is what callers of a network operation expect.

    :param delay: longest wait.
    :param coroutine: what is awaited; it is cancelled when the time is up.
    :raises TimeoutError: when the time is up.
    """
    # Most sends finish without waiting; setting a timer for them costs more than the
    # send itself.
    try:
        trap = coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    try:
        async with curio.timeout_after(delay.total_seconds()):
            return await _resume(coroutine, trap)
    except curio.TaskTimeout:
        raise TimeoutError(f"no answer within {delay.total_seconds():g} s") from None


async def wait_for_event(delay: timedelta, event: Any) -> bool:
    """Wait for an event for a limited time.

    :param delay: longest wait.
    :param event: an event of curio's.
    :returns: whether it was set in time.
    """
    try:
        await wait_at_most(delay, event.wait())
    except TimeoutError:
        return False
    return True


@types.coroutine
def _resume(
    coroutine: Coroutine[Any, Any, Value], trap: Any
) -> Generator[Any, Any, Value]:
    """Continue a coroutine that has stopped at a trap of curio's kernel."""
    while True:
        try:
            value = yield trap
        except BaseException as error:
            step = coroutine.throw
            argument: Any = error
        else:
            step = coroutine.send
            argument = value
        try:
            trap = step(argument)
        except StopIteration as stop:
            return stop.value
