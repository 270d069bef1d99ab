"""Faults of engines, the store and the booking service."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

from hibiscustiller.serving.tests._world import World

FAULT_TIME = timedelta(milliseconds=300)


class PartFaults:
    """Causes faults of single parts and ends them.

    :param world: the fleet.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._clock = world.clock

    def list_faults(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return what causes each fault and ends it, by name."""
        return {
            "stage-death": self._kill_engine,
            "silent-engine": self._silence_engine,
            "slow-engine": self._slow_engine,
            "refusing-engine": self._refuse_at_engine,
            "reordered-frames": self._disturb_frames,
            "store-down": self._stop_store,
            "store-slow": self._slow_store,
            "store-answer-lost": self._lose_store_answers,
            "booking-dies": self._drop_bookings,
        }

    async def _kill_engine(self) -> None:
        engine = self._world.choose_engine()
        if engine.is_crashed:
            return
        name = engine.options.server_id
        self._world.killed_engines.add(name)
        await engine.crash()
        await self._clock.sleep(FAULT_TIME)
        # An engine starts with its own role; the holder must correct it.
        engine.role = "prefill"
        await engine.start()
        self._world.killed_engines.discard(name)

    async def _silence_engine(self) -> None:
        engine = self._world.choose_engine()
        engine.faults.is_silent = True
        # Longer than the next-byte timeout, so that the silence must be noticed.
        await self._clock.sleep(FAULT_TIME * 5)
        engine.faults.is_silent = False

    async def _slow_engine(self) -> None:
        engine = self._world.choose_engine()
        engine.faults.slowdown = 20.0
        await self._clock.sleep(FAULT_TIME)
        engine.faults.slowdown = 1.0

    async def _refuse_at_engine(self) -> None:
        engine = self._world.choose_engine()
        engine.faults.refuses = True
        await self._clock.sleep(FAULT_TIME)
        engine.faults.refuses = False

    async def _disturb_frames(self) -> None:
        engine = self._world.choose_engine()
        engine.faults.duplicates_frames = True
        engine.faults.stale_frames = True
        await self._clock.sleep(FAULT_TIME)
        engine.faults.duplicates_frames = False
        engine.faults.stale_frames = False

    async def _stop_store(self) -> None:
        self._world.fleet.platform.faults.is_down = True
        await self._clock.sleep(FAULT_TIME)
        self._world.fleet.platform.faults.is_down = False

    async def _slow_store(self) -> None:
        self._world.fleet.platform.faults.delay = timedelta(milliseconds=100)
        await self._clock.sleep(FAULT_TIME)
        self._world.fleet.platform.faults.delay = timedelta(0)

    async def _lose_store_answers(self) -> None:
        self._world.fleet.platform.faults.lost_answers = 3
        await self._clock.sleep(FAULT_TIME)
        self._world.fleet.platform.faults.lost_answers = 0

    async def _drop_bookings(self) -> None:
        booking = self._world.random_state.choice(self._world.fleet.bookings)
        fault = self._world.random_state.choice(("drops_before", "drops_after"))
        setattr(booking.faults, fault, True)
        await self._clock.sleep(FAULT_TIME)
        setattr(booking.faults, fault, False)
