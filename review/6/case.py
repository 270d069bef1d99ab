"""An engine sends an event without an end in small pieces; see claim.txt."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

from deployment import Deployment, make_config, run_case
from timeouts import check_calm, judge_timeouts, send_for

FOLDER = Path(__file__).resolve().parent
TROUBLE_S = 20.0


async def play(deployment: Deployment, has_trouble: bool) -> int:
    """Play the case; 1 if the rule was broken."""
    deployment.start_store()
    await deployment.wait_for_store()
    await deployment.write_config(make_config())
    options = ("--engine", "--slots", "96", "--trouble", "endless-event")
    engines = [
        deployment.add_server(f"i-engine-{n}", "pool", *options) for n in range(3)
    ]
    for n in range(3):
        deployment.add_server(f"i-desk-{n}", "desk")
    deployment.start_routers()
    await deployment.wait_until_ready()
    await check_calm(deployment)
    if has_trouble:
        engines[0].signal(signal.SIGUSR1)
    return judge_timeouts(deployment, await send_for(deployment, TROUBLE_S))


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER / "record.txt"))
