"""The demonstration: stand-ins, one router and real requests in one process."""

from __future__ import annotations

import json
import random
from datetime import timedelta

import click
import curio

from hibiscustiller.serving import Router
from hibiscustiller.settings import Address, Settings, parse_settings
from hibiscustiller.standins import (
    MODEL,
    MODEL_LAYERS,
    ORGANISATION_KEYS_BY_ID,
    Fleet,
    compute_answer,
    start_fleet,
)
from hibiscustiller.utils import Clock, Metrics, Revision, SystemClock
from hibiscustiller.wire import HttpClient

_TIMEOUT = timedelta(seconds=10)
_SETTINGS = """
[router]
id = demo
failure_domain = domain-0
shutdown_lag = {shutdown_lag}
[listen]
callers = 127.0.0.1:0
administration = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
store = {platform}
host_list = {platform}
"""


def make_demo_settings(platform: Address, shutdown_lag: str = "0s") -> Settings:
    """Return settings of a router beside stand-ins.

    :param platform: address of the platform's stand-in.
    :param shutdown_lag: as in the settings.
    """
    text = _SETTINGS.format(platform=platform, shutdown_lag=shutdown_lag)
    return parse_settings(text, "demo")


async def run_demo() -> bool:
    """Run the demonstration and print its report.

    :returns: whether every answer was right.
    """
    clock = SystemClock()
    fleet = await start_fleet(clock)
    settings = make_demo_settings(fleet.platform.address)
    router = Router(settings, clock, random.Random(1), Metrics())
    router.install_document(fleet.document, Revision(1))
    await router.start()
    client = HttpClient(clock)
    try:
        return await _run_requests(client, router, fleet, clock)
    finally:
        await client.close()
        await router.stop()
        await fleet.close()


async def _run_requests(
    client: HttpClient, router: Router, fleet: Fleet, clock: Clock
) -> bool:
    address = router.caller_server.address
    prompts_by_organisation = {
        "greens": "confirm two loads of turf for the tenth green",
        "schools": "quote forty boxes of white chalk",
        "notes": "write the catalogue note for round markers",
    }
    tasks = [
        await curio.spawn(_stream_tokens, client, address, organisation, prompt)
        for organisation, prompt in prompts_by_organisation.items()
    ]
    are_right = []
    for task, (organisation, prompt) in zip(
        tasks, prompts_by_organisation.items(), strict=True
    ):
        tokens = await task.join()
        expected = compute_answer(MODEL, "1", MODEL_LAYERS, prompt, 12)
        are_right.append(tokens == expected)
        verdict = "matches the reference" if tokens == expected else "WRONG"
        click.echo(f"{organisation:8} {' '.join(tokens)}")
        click.echo(f"{'':8} {len(tokens)} tokens, {verdict}")
    are_right.append(await _order_twice(client, address, fleet))
    return all(are_right)


async def _stream_tokens(
    client: HttpClient, address: Address, organisation: str, prompt: str
) -> list[str]:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 12, "stream": True}
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


async def _order_twice(client: HttpClient, address: Address, fleet: Fleet) -> bool:
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
    click.echo(f"order    sent twice, booked {booked} time(s), answer {bodies[0]!r}")
    return booked == 1 and bodies[0] == bodies[1]
