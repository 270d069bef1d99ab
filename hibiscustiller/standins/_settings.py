"""Settings of routers that run beside stand-ins."""

from __future__ import annotations

from collections.abc import Iterable

from hibiscustiller.settings import Address, Settings, parse_settings

ANY_PORT = Address("127.0.0.1", 0)
_SETTINGS = """
[router]
id = {router_id}
failure_domain = {failure_domain}
shutdown_lag = {shutdown_lag}
[listen]
callers = {any_port}
administration = {any_port}
peers = {peers}
[peers]
seeds = {seeds}
shared_key = {shared_key}
[platform]
store = {platform}
host_list = {platform}
"""


def make_standin_settings(
    platform: Address | str,
    *,
    router_id: str = "router",
    failure_domain: str = "domain-0",
    shutdown_lag: str = "0s",
    peers: Address | str = ANY_PORT,
    seeds: Iterable[Address | str] = (),
    shared_key: str = "",
) -> Settings:
    """Return settings of a router on loopback, with any free ports for callers.

    :param platform: address of the platform's stand-in.
    :param peers: where the router listens for other routers.
    :param seeds: other routers' addresses; they need a shared key.
    :param shared_key: empty for a router that is alone.
    :raises SettingsError: if a value is not accepted.
    """
    text = _SETTINGS.format(
        router_id=router_id,
        failure_domain=failure_domain,
        shutdown_lag=shutdown_lag,
        any_port=ANY_PORT,
        peers=peers,
        seeds=", ".join(str(seed) for seed in seeds),
        shared_key=shared_key,
        platform=platform,
    )
    return parse_settings(text, "settings beside stand-ins")
