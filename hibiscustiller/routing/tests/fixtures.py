"""Builders of configurations, indexes and routes for tests."""

from hibiscustiller.configuration import build_config
from hibiscustiller.routing import ModelIndex, Route, Stage
from hibiscustiller.settings import Address

MODEL = "turf"


def make_config(servers, layers=8, models=(MODEL,), links=()):
    """Build a configuration.

    :param servers: tuples of name, failure domain, first and last layer, and
        optionally milliseconds per token and model.
    :param layers: number of layers of each model.
    :param models: names of the models.
    :param links: tuples of two failure domains and the delay in milliseconds.
    """
    sections = {f"model {name}": {"layers": str(layers)} for name in models}
    for name, domain, first, last, *optional in servers:
        sections[f"server {name}"] = {
            "address": "127.0.0.1:1",
            "failure_domain": domain,
            "model": optional[1] if len(optional) > 1 else MODEL,
            "first_layer": str(first),
            "last_layer": str(last),
            "token_time": f"{optional[0] if optional else 10}ms",
        }
    for start, end, milliseconds in links:
        sections[f"link {start} {end}"] = {"delay": f"{milliseconds}ms"}
    return build_config(sections)


def make_replicas(count, domains=3, layers=8):
    """Return the server tuples of replicas that have two stages each."""
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
    """Return a route over servers in order, each in a failure domain of its own."""
    step = layers // len(servers)
    stages = tuple(
        Stage(name, Address("127.0.0.1", 1), i * step, (i + 1) * step, f"d-{name}")
        for i, name in enumerate(servers)
    )
    return Route(MODEL, "1", stages, None)
