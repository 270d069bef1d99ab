"""The demonstration: stand-ins, one router and real requests in one process."""

from __future__ import annotations

import json
import random
from datetime import timedelta

import click
import curio

from hibiscustiller.configuration import parse_sections
from hibiscustiller.serving import Router
from hibiscustiller.settings import Address
from hibiscustiller.standins import (
    MODEL,
    MODEL_LAYERS,
    ORGANISATION_KEYS_BY_ID,
    TEAM_KEYS_BY_ID,
    Fleet,
    compute_answer,
    make_standin_settings,
    start_fleet,
)
from hibiscustiller.utils import Metrics, SystemClock
from hibiscustiller.wire import HttpClient

_TIMEOUT = timedelta(seconds=10)
_MAX_TOKENS = 40
_KILL_DELAY = timedelta(milliseconds=60)
_PROMPTS_BY_ORGANISATION = {
    "greens": "confirm two loads of turf for the tenth green",
    "schools": "quote forty boxes of white chalk",
    "notes": "write the catalogue note for round markers",
}


async def run_demo() -> bool:
    """Run the demonstration and print its report.

    :returns: whether every answer was right.
    """
    clock = SystemClock()
    fleet = await start_fleet(clock)
    settings = make_standin_settings(fleet.platform.address)
    router = Router(settings, clock, random.Random(1), Metrics())
    await router.start()
    client = HttpClient(clock)
    try:
        await _propose_document(client, router, fleet)
        is_right = await _run_requests(client, router, fleet)
        is_right &= await _order_twice(client, router, fleet)
        _print_report(router)
        return is_right
    finally:
        await client.close()
        await router.stop()
        await fleet.close()


async def _propose_document(client: HttpClient, router: Router, fleet: Fleet) -> None:
    """Have the document accepted through the administration API."""
    sections = parse_sections(fleet.document, "demo")
    body = {
        "proposal_id": "demo",
        "base_revision": 0,
        "changes": {heading: dict(values) for heading, values in sections.items()},
    }
    answer = await client.request_json(
        router.configuration_parts.server.address,
        "POST",
        "/admin/proposals",
        body,
        timeout=_TIMEOUT,
        headers={"authorization": f"Bearer {TEAM_KEYS_BY_ID['carnbeg']}"},
    )
    value = answer.read_json()
    click.echo(f"document {value['outcome']} at revision {value['revision']}")


async def _run_requests(client: HttpClient, router: Router, fleet: Fleet) -> bool:
    """Stream three answers at once while an engine dies."""
    address = router.caller_server.address
    tasks = [
        await curio.spawn(_stream_tokens, client, address, organisation, prompt)
        for organisation, prompt in _PROMPTS_BY_ORGANISATION.items()
    ]
    await _kill_busy_engine(fleet)
    are_right = []
    for task, (organisation, prompt) in zip(
        tasks, _PROMPTS_BY_ORGANISATION.items(), strict=True
    ):
        tokens = await task.join()
        expected = compute_answer(MODEL, "1", MODEL_LAYERS, prompt, _MAX_TOKENS)
        are_right.append(tokens == expected)
        verdict = "match the reference" if tokens == expected else "are WRONG"
        click.echo(f"{organisation:8} {' '.join(tokens[:8])} ...")
        click.echo(f"{'':8} {len(tokens)} tokens {verdict}")
    return all(are_right)


async def _kill_busy_engine(fleet: Fleet) -> None:
    """Kill the first engine that runs a stream."""
    async with curio.timeout_after(_TIMEOUT.total_seconds()):
        while True:
            for server_id, engine in fleet.engines_by_id.items():
                if engine.running:
                    await curio.sleep(_KILL_DELAY.total_seconds())
                    await engine.crash()
                    click.echo(f"{server_id} was killed while it ran streams")
                    return
            await curio.sleep(0)


async def _stream_tokens(
    client: HttpClient, address: Address, organisation: str, prompt: str
) -> list[str]:
    body = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": _MAX_TOKENS,
        "stream": True,
    }
    key = ORGANISATION_KEYS_BY_ID[organisation]
    stream = await client.open_stream(
        address,
        "POST",
        "/v1/completions",
        next_byte_timeout=_TIMEOUT,
        body=json.dumps(body).encode(),
        headers={"authorization": f"Bearer {key}"},
    )
    tokens = []
    async with stream:
        while (line := await stream.read_line()) is not None:
            data = line.removeprefix(b"data: ")
            if data != line and data != b"[DONE]":
                text = json.loads(data)["choices"][0]["text"]
                tokens += text.split()
    return tokens


def _print_report(router: Router) -> None:
    report = router.configuration_parts.api.make_report()
    totals = report["totals"]
    usable = [s for s in report["backend_servers"].values() if s["is_usable"]]
    click.echo("report")
    click.echo(f"  revision in force     {report['configuration']['revision']}")
    click.echo(f"  requests answered     {totals.get('requests.answered', 0)}")
    click.echo(
        f"  usable servers        {len(usable)} of {len(report['backend_servers'])}"
    )
    click.echo(f"  invariant violations  {len(report['invariant_violations'])}")


async def _order_twice(client: HttpClient, router: Router, fleet: Fleet) -> bool:
    """Send an order twice with the same key."""
    address = router.caller_server.address
    key = ORGANISATION_KEYS_BY_ID["greens"]
    headers = {"authorization": f"Bearer {key}", "idempotency-key": "order-1"}
    bodies = []
    for _ in range(2):
        answer = await client.request_json(
            address,
            "POST",
            "/v1/services/booking/bookings",
            {"item": "turf", "quantity": 2},
            timeout=_TIMEOUT,
            headers=headers,
        )
        bodies.append(answer.body)
    booked = sum(len(booking.bookings) for booking in fleet.bookings)
    click.echo(f"order    sent twice, booked {booked} time(s): {bodies[0].decode()}")
    return booked == 1 and bodies[0] == bodies[1]
