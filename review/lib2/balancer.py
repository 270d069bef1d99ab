"""The platform's balancer: it chooses a router for each new connection.

It asks each router once a second whether it is ready. Two misses in a row take a router
out of rotation, and an answer of 200 takes it in again. If fewer than half of the
routers of the zone are in rotation, all of them are used.
"""

from __future__ import annotations

import asyncio
import random

from deployment import Deployment, is_ready

MAX_MISSES = 2


class Balancer:
    """Chooses among the routers of one zone."""

    def __init__(self, deployment: Deployment) -> None:
        self._ips = list(deployment.routers_by_ip)
        self._misses_by_ip = dict.fromkeys(self._ips, 0)
        self._deployment = deployment

    async def run(self) -> None:
        """Ask all routers until cancelled."""
        await asyncio.gather(*(self._ask(ip) for ip in self._ips))

    async def _ask(self, ip: str) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began_at = loop.time()
            found = await is_ready(ip)
            self._misses_by_ip[ip] = 0 if found else self._misses_by_ip[ip] + 1
            self._deployment.note(event="probe", router=ip, ready=found)
            await asyncio.sleep(max(0.0, began_at + 1 - loop.time()))

    def choose(self) -> str:
        """Return the router of the next connection."""
        ready = [ip for ip, n in self._misses_by_ip.items() if n < MAX_MISSES]
        return random.choice(ready if 2 * len(ready) >= len(self._ips) else self._ips)
