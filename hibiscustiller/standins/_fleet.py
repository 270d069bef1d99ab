"""A small fleet of stand-ins with its operators' document."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.configuration import format_sections
from hibiscustiller.settings import Address
from hibiscustiller.standins._booking import BookingStandin
from hibiscustiller.standins._engine import EngineOptions, EngineStandin
from hibiscustiller.standins._platform import PlatformStandin
from hibiscustiller.standins._settings import ANY_PORT
from hibiscustiller.utils import Clock, hash_secret

MODEL = "turf-70b"
MODEL_LAYERS = 12
TEAM_KEYS_BY_ID = {"carnbeg": "team-key-carnbeg", "tizas": "team-key-tizas"}
ORGANISATION_KEYS_BY_ID = {
    "greens": "org-key-greens",
    "schools": "org-key-schools",
    "notes": "org-key-notes",
}
_CLASSES_BY_ORGANISATION = {
    "greens": "confirmations",
    "schools": "quotes",
    "notes": "overnight",
}
_STAGES_PER_REPLICA = 2


@dataclass
class Fleet:
    """Stand-ins that run in this process.

    :param document: the operators' document that describes them.
    """

    platform: PlatformStandin
    engines_by_id: dict[str, EngineStandin]
    bookings: list[BookingStandin]
    document: str

    async def close(self) -> None:
        """Stop all stand-ins."""
        for engine in self.engines_by_id.values():
            await engine.close()
        for booking in self.bookings:
            await booking.close()
        await self.platform.close()


async def start_fleet(
    clock: Clock,
    replicas: int = 3,
    token_time: timedelta = timedelta(milliseconds=2),
    streams: int = 16,
    platform_address: Address = ANY_PORT,
    has_own_hosts: bool = False,
) -> Fleet:
    """Start a fleet: replicas of one model in two stages each, over three domains.

    :param replicas: replicas of the model.
    :param token_time: time a token at each stage.
    :param streams: streams that each stage runs at once.
    :param platform_address: where the platform's stand-in listens.
    :param has_own_hosts: whether each engine has a loopback address of its own, so
        that the host list can name it alone.
    """
    platform = PlatformStandin(platform_address, clock)
    await platform.start()
    engines = {}
    for replica in range(replicas):
        for stage in range(_STAGES_PER_REPLICA):
            options = _make_engine_options(replica, stage, token_time, streams)
            number = len(engines) + 2 if has_own_hosts else 1
            address = Address(f"127.0.0.{number}", 0)
            engine = EngineStandin(options, address, clock)
            await engine.start()
            engines[options.server_id] = engine
    bookings = [BookingStandin(ANY_PORT, clock) for _ in range(2)]
    for booking in bookings:
        await booking.start()
    document = format_sections(_describe_fleet(engines, bookings))
    return Fleet(platform, engines, bookings, document)


def _make_engine_options(
    replica: int, stage: int, token_time: timedelta, streams: int
) -> EngineOptions:
    share = MODEL_LAYERS // _STAGES_PER_REPLICA
    return EngineOptions(
        server_id=f"engine-{replica}-{stage}",
        model=MODEL,
        first_layer=stage * share,
        last_layer=(stage + 1) * share,
        token_time=token_time,
        streams=streams,
    )


def _describe_fleet(
    engines: dict[str, EngineStandin], bookings: list[BookingStandin]
) -> dict[str, dict[str, str]]:
    sections = _describe_policy()
    for server_id, engine in engines.items():
        options = engine.options
        replica = int(server_id.split("-")[1])
        milliseconds = options.token_time / timedelta(milliseconds=1)
        sections[f"server {server_id}"] = {
            "address": str(engine.address),
            "failure_domain": f"domain-{replica % 3}",
            "model": MODEL,
            "first_layer": str(options.first_layer),
            "last_layer": str(options.last_layer),
            "token_time": f"{milliseconds:g}ms",
            "streams": str(options.streams),
        }
    sections["service booking"] = {
        "addresses": ", ".join(str(booking.address) for booking in bookings),
        "timeout": "2s",
    }
    return sections


def _describe_policy() -> dict[str, dict[str, str]]:
    sections = {
        "team carnbeg": {
            "key_sha256": hash_secret(TEAM_KEYS_BY_ID["carnbeg"]),
            "owns": "team *, model *, server *, service *, link *, class *",
        },
        "team tizas": {
            "key_sha256": hash_secret(TEAM_KEYS_BY_ID["tizas"]),
            "owns": "organisation *",
        },
        f"model {MODEL}": {"layers": str(MODEL_LAYERS)},
        "class confirmations": {"rank": "0", "deadline": "5s", "floor": "0.1"},
        "class quotes": {"rank": "1", "deadline": "15s", "floor": "0.1"},
        "class overnight": {
            "rank": "2",
            "deadline": "60s",
            "floor": "0.05",
            "preemptible": "true",
        },
    }
    for organisation, key in ORGANISATION_KEYS_BY_ID.items():
        sections[f"organisation {organisation}"] = {
            "key_sha256": hash_secret(key),
            "priority_class": _CLASSES_BY_ORGANISATION[organisation],
        }
    return sections
