"""Periods of the connections between routers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class MeshTimings:
    """Periods of the mesh; tests shorten them all alike.

    :param heartbeat: between heartbeats.
    :param suspect: silence after which a neighbour is suspected.
    :param drop: silence after which a router is dropped.
    :param flush: wait for more news before it is sent on.
    :param idle: silence after which a connection to no neighbour is closed.
    :param rejoin: between attempts to reach dropped routers and seeds.
    :param first_delay: bound of the first delay between attempts to connect.
    :param last_delay: bound of every such delay.
    """

    heartbeat: timedelta = timedelta(seconds=1)
    suspect: timedelta = timedelta(seconds=3)
    drop: timedelta = timedelta(seconds=10)
    flush: timedelta = timedelta(milliseconds=100)
    # Above the time between two usage reports among 330 routers, 26 s with a quarter of
    # jitter: greeting an owner for each report would cost it more than the reports.
    idle: timedelta = timedelta(seconds=40)
    rejoin: timedelta = timedelta(seconds=5)
    first_delay: timedelta = timedelta(milliseconds=500)
    last_delay: timedelta = timedelta(seconds=5)

    def scale(self, factor: float) -> MeshTimings:
        """Return all periods multiplied by a factor."""
        return MeshTimings(**{name: v * factor for name, v in vars(self).items()})
