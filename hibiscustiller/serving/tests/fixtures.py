"""One router beside a small fleet of stand-ins, and a caller's client."""

import json
import random
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.serving import Router
from hibiscustiller.standins import (
    MODEL,
    ORGANISATION_KEYS_BY_ID,
    Fleet,
    make_standin_settings,
    start_fleet,
)
from hibiscustiller.utils import Metrics, Revision, SystemClock
from hibiscustiller.wire import HttpAnswer, HttpClient

TIMEOUT = timedelta(seconds=10)


@dataclass
class Bench:
    """A router under test with its surroundings."""

    fleet: Fleet
    router: Router
    client: HttpClient

    async def complete(
        self, prompt: str = "a b c", max_tokens: int = 6, **options: object
    ) -> HttpAnswer:
        """Ask for a completion."""
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        return await self.post("/v1/completions", body, **options)

    async def post(
        self,
        path: str,
        body: object,
        organisation: str = "greens",
        headers: dict[str, str] | None = None,
        client: HttpClient | None = None,
    ) -> HttpAnswer:
        """Send a JSON body as an organisation, by the bench's client or another."""
        key = ORGANISATION_KEYS_BY_ID.get(organisation, "wrong")
        return await (client or self.client).request_json(
            self.router.caller_server.address,
            "POST",
            path,
            body,
            timeout=TIMEOUT,
            headers={"authorization": f"Bearer {key}", **(headers or {})},
        )

    async def get(self, path: str) -> HttpAnswer:
        """Read a path without a key."""
        address = self.router.caller_server.address
        return await self.client.request(address, "GET", path, timeout=TIMEOUT)

    async def close(self) -> None:
        """Stop everything."""
        await self.client.close()
        await self.router.stop()
        await self.fleet.close()


async def start_bench(**changes: object) -> Bench:
    """Start a bench.

    :param changes: text values that replace settings, such as ``shutdown_lag``.
    """
    clock = SystemClock()
    fleet = await start_fleet(clock)
    settings = make_standin_settings(fleet.platform.address, **changes)
    router = Router(settings, clock, random.Random(7), Metrics())
    router.install_document(fleet.document, Revision(1))
    await router.start()
    return Bench(fleet, router, HttpClient(clock))


def read_text(answer: HttpAnswer) -> str:
    """Return the text of a completion."""
    return json.loads(answer.body)["choices"][0]["text"]


def read_error(answer: HttpAnswer) -> tuple[int, str, str]:
    """Return status, reason and verdict; header and body must agree."""
    error = json.loads(answer.body)["error"]
    assert answer.headers_by_name["x-verdict"] == error["verdict"]
    return answer.status, error["reason"], error["verdict"]
