"""Tests of the delivery of signals to a task."""

import ast
import contextlib
import signal
import sys
from pathlib import Path

import curio

import hibiscustiller
from hibiscustiller.utils import SignalReceiver
from hibiscustiller.utils._testing import collect_tests

_KINDS = (signal.SIGUSR1, signal.SIGUSR2)
# More bytes than a socket pair holds.
_FLOOD_SIGNALS = 100_000
_TIME_LIMIT_S = 5.0


@contextlib.asynccontextmanager
async def _make_receiver():
    receiver = SignalReceiver(_KINDS)
    try:
        yield receiver
    finally:
        await receiver.close()
        for kind in _KINDS:
            signal.signal(kind, signal.SIG_DFL)


async def _receive(receiver):
    async with curio.timeout_after(_TIME_LIMIT_S):
        return await receiver.receive()


async def test_all_kinds_of_pending_signals_are_received():
    """Guards against one kind of signal that hides another."""
    async with _make_receiver() as receiver:
        for kind in _KINDS:
            signal.raise_signal(kind)
        assert await _receive(receiver) == set(_KINDS)


async def test_a_signal_is_received_although_the_buffer_is_full():
    """Guards against a kind of signal that is lost when no byte can be written."""
    async with _make_receiver() as receiver:
        for _ in range(_FLOOD_SIGNALS):
            signal.raise_signal(signal.SIGUSR1)
        signal.raise_signal(signal.SIGUSR2)
        assert await _receive(receiver) == set(_KINDS)


async def test_a_signal_is_received_once():
    """Guards against a signal that is handled again when its next byte is read."""
    async with _make_receiver() as receiver:
        for _ in range(_FLOOD_SIGNALS):
            signal.raise_signal(signal.SIGUSR1)
        await _receive(receiver)
        signal.raise_signal(signal.SIGUSR2)
        assert await _receive(receiver) == {signal.SIGUSR2}


async def test_a_waiting_task_receives_a_signal():
    """Guards against a signal that does not wake the task that waits for it."""
    async with _make_receiver() as receiver:
        task = await curio.spawn(_receive, receiver)
        await curio.sleep(0.01)
        signal.raise_signal(signal.SIGUSR2)
        assert await task.join() == {signal.SIGUSR2}


async def test_signals_are_ignored_after_the_end():
    """Guards against a signal that ends a process which is about to exit."""
    receiver = SignalReceiver(_KINDS)
    await receiver.close()
    for kind in _KINDS:
        signal.raise_signal(kind)
        signal.signal(kind, signal.SIG_DFL)


def test_handlers_are_installed_by_the_receiver_only():
    """Guards against further signal handlers, which may take locks or change state."""
    root = Path(hibiscustiller.__file__).parent
    paths = [path for path in root.rglob("*.py") if "tests" not in path.parts]
    installers = []
    for path in paths:
        nodes = list(ast.walk(ast.parse(path.read_text())))
        ignoring = [node.func for node in nodes if _is_call_to_ignore(node)]
        if any(_installs_handler(node) and node not in ignoring for node in nodes):
            installers.append(path.relative_to(root).as_posix())
    assert installers == ["utils/_signals.py"], installers


def _is_call_to_ignore(node):
    return isinstance(node, ast.Call) and "signal.SIG_IGN" in map(
        ast.unparse, node.args
    )


def _installs_handler(node):
    return (
        isinstance(node, ast.Attribute)
        and node.attr in ("signal", "set_wakeup_fd", "siginterrupt", "sigaction")
        and isinstance(node.value, ast.Name)
        and node.value.id == "signal"
    )


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
