"""Documents for tests of routing."""

from hibiscustiller.configuration import build_config
from hibiscustiller.routing import ModelIndex, Route, Stage
from hibiscustiller.settings import Address

MODEL = "turf"


def make_config(servers, layers=8, models=(MODEL,), links=()):
    """Build a document.

    :param servers: name, failure domain, first and last layer, then optionally
        milliseconds a token and model.
    """
    sections = {f"model {name}": {"layers": str(layers)} for name in models}
    for name, domain, first, last, *rest in servers:
        sections[f"server {name}"] = {
            "address": "127.0.0.1:1",
            "failure_domain": domain,
            "model": rest[1] if len(rest) > 1 else MODEL,
            "first_layer": str(first),
            "last_layer": str(last),
            "token_time": f"{rest[0] if rest else 10}ms",
        }
    for start, end, milliseconds in links:
        sections[f"link {start} {end}"] = {"delay": f"{milliseconds}ms"}
    return build_config(sections)


def make_replicas(count, domains=3, layers=8):
    """List servers of replicas in two stages each."""
    half = layers // 2
    return [
        (f"s{replica}-{stage}", f"d{replica % domains}", first, first + half)
        for replica in range(count)
        for stage, first in enumerate((0, half))
    ]


def make_index(config, origin="d0"):
    servers = list(config.servers_by_id.values())
    return ModelIndex(config, config.models_by_name[MODEL], servers, origin)


def make_route(*servers, layers=8):
    """Return a route over servers, one after the other, each in a domain of its own."""
    step = layers // len(servers)
    stages = tuple(
        Stage(name, Address("127.0.0.1", 1), i * step, (i + 1) * step, f"d-{name}")
        for i, name in enumerate(servers)
    )
    return Route(MODEL, "1", stages, None)
