"""Sends orders to every router of a deployment, and judges the answers' bodies."""

from __future__ import annotations

import asyncio
import random
import time

from deployment import Deployment, Outcome, send_plain, send_stream
from server import BOOKING


async def send_orders(
    deployment: Deployment, length_s: float, period_s: float, stream_share: float = 0
) -> list[Outcome]:
    """Send orders to every router for a time.

    :param period_s: time between two orders to the same router.
    :param stream_share: number of streams that are sent beside each order.
    """
    tasks, streams, end_at = [], [], time.monotonic() + length_s
    number = 0
    while time.monotonic() < end_at:
        for ip in deployment.routers_by_ip:
            number += 1
            order = send_plain(
                deployment, ip, "POST", f"/order/{number}", 2.0, 1000, b"40 boxes"
            )
            tasks.append(asyncio.create_task(order))
            if random.random() < stream_share:
                stream = send_stream(deployment, ip, f"/quote/{number}")
                streams.append(asyncio.create_task(stream))
        await asyncio.sleep(period_s)
    await asyncio.gather(*streams)
    return await asyncio.gather(*tasks)


def judge_bodies(outcomes: list[Outcome]) -> int:
    """Apply the rule MIXED to the answers; 1 if it was broken."""
    served = [o for o in outcomes if o.status == 200 and o.is_complete]
    short = [o for o in served if o.body != BOOKING]
    statuses = sorted({(o.status or 0, o.error) for o in outcomes})
    print(f"orders: {len(outcomes)}, outcomes: {statuses}")
    print(f"200 with a complete answer: {len(served)}")
    print(f"of these, with a part of the server's body only: {len(short)}")
    if len(served) < 0.3 * len(outcomes):
        raise RuntimeError("the deployment does not serve")
    for outcome in short:
        print(f"short: {outcome.request} from {outcome.router}")
    print("broken" if short else "held")
    return int(bool(short))
