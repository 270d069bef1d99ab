"""Deadlines on waiting, for curio's cancellation model."""

from collections.abc import Coroutine
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
    try:
        return await curio.timeout_after(delay.total_seconds(), coroutine)
    except curio.TaskTimeout:
        raise TimeoutError(f"no answer within {delay.total_seconds():g} s") from None
