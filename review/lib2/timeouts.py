"""Sends requests to every router of a deployment, and judges their timeouts."""

from __future__ import annotations

import asyncio
import time

from deployment import (
    PLAIN_TIMEOUT_S,
    Deployment,
    Outcome,
    is_ready,
    send_plain,
    send_stream,
)

# In the rule, the answer is due half a second after the timeout of its route.
SLACK_S = 0.5
PERIOD_S = 0.5
MIN_LATE = 8
# Engines load their layers, and routers find each other, within this time.
SETTLING_S = 4.0
CALM_S = 5.0


async def check_calm(deployment: Deployment) -> None:
    """Check that the deployment serves before its trouble.

    :raises RuntimeError: if it does not.
    """
    await asyncio.sleep(SETTLING_S)
    calm = await send_for(deployment, CALM_S)
    served = [o for o in calm if o.status == 200 and o.is_complete]
    print(f"calm: {len(served)} of {len(calm)} requests were served")
    if len(served) < 0.9 * len(calm):
        raise RuntimeError("the deployment does not serve in calm")


async def send_for(deployment: Deployment, length_s: float) -> list[Outcome]:
    """Send streams and stock checks to every router for a time."""
    tasks, end_at = [], time.monotonic() + length_s
    probes = asyncio.create_task(_probe(deployment))
    number = 0
    while time.monotonic() < end_at:
        for ip in deployment.routers_by_ip:
            number += 1
            wait_s = PLAIN_TIMEOUT_S + SLACK_S
            stock = send_plain(deployment, ip, "GET", f"/stock/{number}", wait_s)
            stream = send_stream(deployment, ip, f"/quote/{number}")
            tasks += [asyncio.create_task(stock), asyncio.create_task(stream)]
        await asyncio.sleep(PERIOD_S)
    outcomes = await asyncio.gather(*tasks)
    probes.cancel()
    return outcomes


async def _probe(deployment: Deployment) -> None:
    """Ask each router once a second whether it is ready, as the platform does."""
    while True:
        for ip in deployment.routers_by_ip:
            deployment.note(event="probe", router=ip, ready=await is_ready(ip))
        await asyncio.sleep(1)


def judge_timeouts(deployment: Deployment, outcomes: list[Outcome]) -> int:
    """Apply the rule CONFIG to the stock checks; 1 if it was broken."""
    stocks = [o for o in outcomes if o.kind == "stock"]
    late = [o for o in stocks if o.status is None or o.took_s >= PLAIN_TIMEOUT_S]
    unanswered = [o for o in late if o.status is None]
    for ip in deployment.routers_by_ip:
        own = [o for o in stocks if o.router == ip]
        lost = sum(o.status is None for o in own)
        if not own:
            continue
        print(f"{ip}: {lost} of {len(own)} stock checks without an answer")
    print(
        f"stock checks: {len(stocks)}, not answered at the timeout: {len(late)},"
        f" not answered half a second later: {len(unanswered)}"
    )
    streams = [o for o in outcomes if o.kind == "quote"]
    whole = sum(o.is_complete and o.status == 200 for o in streams)
    print(f"streams: {len(streams)}, complete: {whole}")
    is_broken = len(unanswered) >= MIN_LATE and len(unanswered) > 0.5 * len(late)
    print("broken" if is_broken else "held")
    return int(is_broken)
