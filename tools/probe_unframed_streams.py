"""Breaks off streams that end with their connection, and counts false ends.

Routers, engines and the store are processes. Engines are killed and stopped, or break
off streams while they run on. A stream that reaches its client as complete before its
last event breaks the rule ORDER. ``python tools/probe_unframed_streams.py --seconds
40`` exits with 1 if any did. Run the build of the deploy file first.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "review" / "lib2"))

import deployment as platform  # noqa: E402

# The most events that a request allows.
MAX_EVENT_COUNT = 43
STREAM_PERIOD_S = 0.04
ENGINE_COUNT = 5
SETTLING_S = 4.0
DOWN_S = 1.0
STOP_S = 0.8
PAUSE_S = 0.7
ROUTER_STOP_S = 1.0


async def trouble_engines(deployment, engines, random_state, has_stops) -> None:
    """Kill one engine after the other; stop some instead."""
    while True:
        await asyncio.sleep(PAUSE_S)
        engine = random_state.choice(engines)
        if has_stops and random_state.random() < 0.5:
            engine.signal(signal.SIGSTOP)
            await asyncio.sleep(STOP_S)
            engine.signal(signal.SIGCONT)
            continue
        deployment.note(event="crash", server=engine.name)
        engine.kill()
        await asyncio.sleep(DOWN_S)
        engine.start()


async def break_streams(engines, random_state) -> None:
    """Let one engine after the other break off its streams and run on."""
    while True:
        await asyncio.sleep(PAUSE_S)
        random_state.choice(engines).signal(signal.SIGUSR1)


async def trouble_routers(deployment, random_state) -> None:
    """Stop one router after the other for a while, or kill and start it again."""
    while True:
        await asyncio.sleep(PAUSE_S)
        router = random_state.choice(list(deployment.routers_by_ip.values()))
        if random_state.random() < 0.5:
            router.signal(signal.SIGSTOP)
            await asyncio.sleep(ROUTER_STOP_S)
            router.signal(signal.SIGCONT)
        else:
            router.kill()
            router.start()
            await asyncio.sleep(2 * ROUTER_STOP_S)


async def play(options: argparse.Namespace) -> int:
    """Return the number of streams that ended as complete too early."""
    random_state = random.Random(options.seed)
    platform.SERVER = ROOT / "tools" / "unframed_engine.py"
    with tempfile.TemporaryDirectory() as folder:
        deployment = platform.Deployment(Path(folder) / "record.txt", options.routers)
        try:
            deployment.start_store()
            await deployment.wait_for_store()
            config = platform.make_config()
            config["routes"][0]["resumable"] = not options.once
            config["routes"][0]["target_latency_ms"] = options.target_ms
            await deployment.write_config(config)
            trouble_words = "/".join(
                [
                    options.framing,
                    options.way or "close",
                    str(options.silence),
                    str(options.share),
                    str(options.spread),
                ]
            )
            engines = [
                deployment.add_server(
                    f"i-engine-{n}",
                    "pool",
                    "--engine",
                    "--slots",
                    "96",
                    "--trouble",
                    trouble_words,
                )
                for n in range(ENGINE_COUNT)
            ]
            deployment.start_routers()
            await deployment.wait_until_ready()
            await asyncio.sleep(SETTLING_S)
            trouble = trouble_engines(
                deployment, engines, random_state, options.engine_stops
            )
            if options.way:
                trouble.close()
                trouble = break_streams(engines, random_state)
            troubles = [asyncio.create_task(trouble)]
            if options.router_trouble:
                troubles.append(
                    asyncio.create_task(trouble_routers(deployment, random_state))
                )
            outcomes = await send_streams(deployment, options)
            for task in troubles:
                task.cancel()
        finally:
            await deployment.close()
    complete = [o for o in outcomes if o.is_complete and o.status == 200]
    early = [o for o in complete if o.pieces < o.event_count]
    cut = [o for o in outcomes if o.status == 200 and not o.is_complete]
    print(
        f"streams: {len(outcomes)}, whole: {len(complete) - len(early)},"
        f" cut: {len(cut)}, ended as complete too early: {len(early)}"
        f" {[o.pieces for o in early]}"
    )
    return len(early)


async def send_streams(deployment, options: argparse.Namespace) -> list:
    """Send streams to all routers at a steady rate."""
    tasks = []
    for number in range(int(options.seconds / STREAM_PERIOD_S)):
        for ip in deployment.routers_by_ip:
            stream = send_stream(deployment, ip, number, options)
            tasks.append(asyncio.create_task(stream))
        await asyncio.sleep(STREAM_PERIOD_S)
    return await asyncio.gather(*tasks)


async def send_stream(deployment, ip, number, options: argparse.Namespace):
    """Send one stream, whose answer may have fewer events than it allows."""
    outcome = await platform.send_stream(
        deployment,
        ip,
        f"/quote/{number}",
        gap_s=max(2.0, 4 * options.target_ms / 1000),
        answer_tokens=MAX_EVENT_COUNT,
    )
    outcome.event_count = MAX_EVENT_COUNT - number % options.spread
    return outcome


def main() -> int:
    """Run the probe; 1 if a stream ended too early."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--engine-stops", action="store_true")
    parser.add_argument("--router-trouble", action="store_true")
    parser.add_argument("--once", action="store_true", help="cannot be resumed")
    parser.add_argument("--target-ms", type=int, default=500)
    parser.add_argument("--framing", choices=("none", "chunks"), default="none")
    parser.add_argument(
        "--way",
        choices=("close", "reset", "inside", "inside-reset"),
        default="",
        help="how engines that run on break off streams, instead of being killed",
    )
    parser.add_argument(
        "--silence", type=float, default=0.0, help="before that, in seconds"
    )
    parser.add_argument(
        "--share",
        type=float,
        default=0.0,
        help="of streams that break off by themselves",
    )
    parser.add_argument(
        "--spread",
        type=int,
        default=1,
        help="answers have fewer events than allowed, by less than this",
    )
    return int(asyncio.run(play(parser.parse_args())) > 0)


if __name__ == "__main__":
    sys.exit(main())
