"""An added engine answers with interim heads without end; see claim.txt."""

from __future__ import annotations

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
    options = ("--engine", "--slots", "96", "--trouble", "endless-interim")
    for n in range(2):
        deployment.add_server(f"i-engine-{n}", "pool", *options)
    for n in range(3):
        deployment.add_server(f"i-desk-{n}", "desk")
    deployment.start_routers()
    await deployment.wait_until_ready()
    await check_calm(deployment)
    # An empty engine is added; a router asks it for its state and gives it layers.
    trouble = ("--at-start",) if has_trouble else ()
    deployment.add_server("i-engine-2", "pool", *options, *trouble)
    return judge_timeouts(deployment, await send_for(deployment, TROUBLE_S))


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER / "record.txt"))
