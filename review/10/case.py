"""Streams that are accepted late in a planned stop are cut; see claim.txt."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

from balancer import Balancer
from deployment import Deployment, Outcome, make_config, run_case, send_stream

FOLDER = Path(__file__).resolve().parent
SETTLING_S = 4.0
ROLLS = 5
GAP_S = 1.0
GRACE_S = 8.0
# Between two rolls; all routers are ready again by then.
PAUSE_S = 4.0
PERIOD_S = 0.01
# Between the opening of a connection and the request on it.
MAX_THINKING_S = 0.5
SHORT_TOKENS, LONG_TOKENS, LONG_SHARE = 12, 125, 0.08
# A request that is sent later is owed its answer, however long it takes.
EXCUSED_S = 3.0


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case; 1 if the rule was broken."""
    deployment.start_store()
    await deployment.wait_for_store()
    await deployment.write_config(make_config())
    for n in range(3):
        deployment.add_server(f"i-engine-{n}", "pool", "--engine", "--slots", "96")
    deployment.start_routers()
    await deployment.wait_until_ready()
    await asyncio.sleep(SETTLING_S)
    balancer = Balancer(deployment)
    probing = asyncio.create_task(balancer.run())
    is_over = asyncio.Event()
    sending = asyncio.create_task(send_streams(deployment, balancer, is_over))
    stops_by_ip = {ip: [] for ip in deployment.routers_by_ip}
    for _ in range(ROLLS):
        await asyncio.sleep(PAUSE_S)
        await roll(deployment, stops_by_ip, has_trouble)
    is_over.set()
    outcomes = await sending
    probing.cancel()
    return judge(deployment, outcomes, stops_by_ip)


async def send_streams(
    deployment: Deployment, balancer: Balancer, is_over: asyncio.Event
) -> list[Outcome]:
    """Send streams through the balancer until the end."""
    tasks, number = [], 0
    while not is_over.is_set():
        number += 1
        tokens = LONG_TOKENS if random.random() < LONG_SHARE else SHORT_TOKENS
        stream = send_stream(
            deployment,
            balancer.choose(),
            f"/quote/{number}",
            answer_tokens=tokens,
            pause_s=random.uniform(0, MAX_THINKING_S),
        )
        tasks.append(asyncio.create_task(stream))
        await asyncio.sleep(PERIOD_S)
    return await asyncio.gather(*tasks)


async def roll(deployment: Deployment, stops_by_ip: dict, has_trouble: bool) -> None:
    """Stop the routers one after the other, and start each one after its end."""

    async def stop(ip: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if not has_trouble:
            await asyncio.sleep(GRACE_S)
            return
        program = deployment.routers_by_ip[ip]
        began_at = time.monotonic()
        stops_by_ip[ip].append(began_at)
        deployment.note(event="SIGTERM", router=ip)
        program.signal(signal.SIGTERM)
        while program.is_running and time.monotonic() < began_at + GRACE_S:
            await asyncio.sleep(0.02)
        program.kill()
        deployment.note(event="ended", router=ip)
        program.start()

    ips = list(deployment.routers_by_ip)
    await asyncio.gather(*(stop(ip, n * GAP_S) for n, ip in enumerate(ips)))


def judge(deployment: Deployment, outcomes: list[Outcome], stops_by_ip: dict) -> int:
    """Apply the rule LOST; 1 if it was broken."""
    lines = deployment.record_path.read_text().splitlines()
    events = [json.loads(line) for line in lines]
    run_ids = {e["request"] for e in events if e["event"] == "run"}
    lost, excused = [], 0
    for outcome in outcomes:
        if outcome.is_complete or outcome.request not in run_ids:
            continue
        if outcome.error == "gap":
            # The client itself left.
            continue
        ended_at = outcome.sent_at + outcome.took_s
        for stop_at in stops_by_ip[outcome.router]:
            if stop_at < ended_at < stop_at + GRACE_S + 1:
                after_s = outcome.sent_at - stop_at
                if after_s <= EXCUSED_S:
                    excused += 1
                    continue
                lost.append(outcome)
                print(
                    f"lost: {outcome.request}, sent {after_s:.3f} s after SIGTERM, cut"
                    f" {ended_at - stop_at:.3f} s after it with {outcome.pieces} events"
                )
    served = sum(o.is_complete and o.status == 200 for o in outcomes)
    print(f"streams: {len(outcomes)}, whole: {served}, lost: {len(lost)}")
    print(f"cut, but sent within 3 s of SIGTERM: {excused}")
    if served < 0.3 * len(outcomes):
        raise RuntimeError("the deployment does not serve")
    print("broken" if lost else "held")
    return int(bool(lost))


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER / "record.txt"))
