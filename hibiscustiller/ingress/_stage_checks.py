"""Checks of the stages of a stream that is paused, by connections to them.

The load: a router has several streams in each pipeline of up to 12 engines, and most
pauses are those of a new request whose prompt is read. An event of another stream shows
that the engines of its pipeline run, so that they need no connection.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

from hibiscustiller.fleet import BackendServer
from hibiscustiller.ingress._stream_attempts import StreamServices
from hibiscustiller.utils import Clock, ServerId

# A stage is checked after a pause of this length, and again after each further one. The
# pauses of a full pipeline are shorter. A lost stage is to be found within 0.5 s, of
# which two attempts to connect take 220 ms, and the look-up of what is due 40 ms.
STAGE_CHECK_PERIOD = timedelta(milliseconds=240)


class StageChecks:
    """Checks of one pipeline while one of its streams is paused.

    :param servers: the engines of the pipeline.
    """

    def __init__(
        self, services: StreamServices, clock: Clock, servers: Sequence[BackendServer]
    ) -> None:
        self._health = services.health
        self._open_attempts = services.open_attempts
        self._clock = clock
        self._servers = servers
        self._paused_at = clock.monotonic()
        self._checked_at_by_id: dict[ServerId, timedelta] = {}

    async def run_due(self) -> None:
        """Connect to the stages that may have been lost; call it every few ms."""
        due = self.list_due()
        if due:
            await self._health.check(due)

    def list_due(self) -> list[BackendServer]:
        """Return the stages to check now, which are not due again for some time."""
        now = self._clock.monotonic()
        if now - self._paused_at < STAGE_CHECK_PERIOD:
            return []
        answered_at_by_id = self._open_attempts.get_answer_times()
        due = []
        for server in self._servers:
            checked_at = self._checked_at_by_id.get(server.id, self._paused_at)
            if now - checked_at < STAGE_CHECK_PERIOD:
                continue
            answered_at = answered_at_by_id.get(server.id, checked_at)
            if now - answered_at < STAGE_CHECK_PERIOD:
                self._checked_at_by_id[server.id] = answered_at
                self._health.record_answered(server, answered_at)
            else:
                self._checked_at_by_id[server.id] = now
                due.append(server)
        return due
