"""Transfer of KV caches between backend servers, as an alternative to replay."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from datetime import timedelta

from hibiscustiller.configuration import FleetConfig
from hibiscustiller.exceptions import TransportError
from hibiscustiller.routing import Route, Stage, get_link_delay
from hibiscustiller.utils import RequestId, ServerId, log_event
from hibiscustiller.wire import HttpClient

_OK = 200
# Bandwidth of a link that the configuration document does not list. It equals the
# default of the document.
_DEFAULT_BYTES_PER_SECOND = 1e9
# Timeout of each request of a transfer. The whole transfer must leave most of the 2 s
# recovery target to the new attempt.
_TRANSFER_TIMEOUT = timedelta(milliseconds=500)
# An import must cost less than this fraction of the replay, since both costs are rough
# estimates.
_MAX_IMPORT_COST_RATIO = 0.8
# A fast first token lowers the estimated replay time at once. A slower one raises it by
# at most this factor, since its attempt may have waited in a queue.
_RISE_FACTOR = 1.02

# Minimum number of tokens for a measurement and for an import. A shorter replay takes
# less than a few token times, and the first token of a shorter prompt measures the
# engine's decoding time rather than its replay time.
_MIN_MEASURED_TOKENS = 512

# Returns whether importing the cache is cheaper than replaying a number of tokens.
ShouldImport = Callable[[Stage, Stage, int], bool]


class ReplayEstimator:
    """Compares the cost of importing a stage's KV cache with that of a replay.

    :param get_config: returns the current configuration.
    """

    def __init__(self, get_config: Callable[[], FleetConfig]) -> None:
        self._get_config = get_config
        self._seconds_per_token: float | None = None

    def record_first_token(self, delay: timedelta, tokens: int) -> None:
        """Update the replay time per token from the first token of an attempt.

        :param delay: time from the start of the attempt.
        :param tokens: prompt and emitted tokens that were replayed.
        """
        if tokens < _MIN_MEASURED_TOKENS:
            return
        seconds = delay.total_seconds() / tokens
        estimate = self._seconds_per_token
        if estimate is None or seconds < estimate:
            self._seconds_per_token = seconds
        else:
            self._seconds_per_token = min(seconds, estimate * _RISE_FACTOR)

    def should_import(self, old: Stage, new: Stage, tokens: int) -> bool:
        """Return whether an import is clearly cheaper than a replay.

        :returns: False if no replay time has been measured yet.
        """
        config = self._get_config()
        server = config.servers_by_id.get(old.server)
        if (
            tokens < _MIN_MEASURED_TOKENS
            or self._seconds_per_token is None
            or server is None
        ):
            return False
        model = config.models_by_name[server.model]
        cached_tokens = tokens * (old.last_layer - old.first_layer) / model.layers
        replay = cached_tokens * self._seconds_per_token
        size = cached_tokens * model.kv_bytes_per_token
        return (
            _estimate_import(config, old, new, size) < _MAX_IMPORT_COST_RATIO * replay
        )


def _estimate_import(config: FleetConfig, old: Stage, new: Stage, size: float) -> float:
    """Estimate the duration of an import.

    Bandwidth and delay count twice, since the cache passes through this router.

    :returns: seconds.
    """
    domains = (old.failure_domain, new.failure_domain)
    link = config.links_by_domains.get(frozenset(domains))
    bandwidth = _DEFAULT_BYTES_PER_SECOND if link is None else link.bytes_per_second
    delay = get_link_delay(config, *domains).total_seconds()
    return 2.0 * size / bandwidth + 4.0 * delay


class CacheMover:
    """Moves KV caches from stages that still respond to the servers that replace them.

    :param client: HTTP client for the engines.
    :param should_import: decides for each stage whether its cache is moved.
    """

    def __init__(self, client: HttpClient, should_import: ShouldImport) -> None:
        self._client = client
        self._should_import = should_import

    async def move_caches(
        self,
        request_id: RequestId,
        old: Route,
        new: Route,
        avoided: frozenset[ServerId],
        tokens: int,
    ) -> int:
        """Move the caches that are cheaper to move than to replay.

        A cache whose transfer fails is replayed instead.


        :param avoided: servers that failed, whose caches are not fetched.
        :param tokens: prompt and emitted tokens.
        :returns: number of stages whose cache was moved.
        """
        moved = 0
        for old_stage, new_stage in _pair_stages(old, new):
            if old_stage.server in avoided or not self._should_import(
                old_stage, new_stage, tokens
            ):
                continue
            moved += await self._move_cache(request_id, old_stage, new_stage)
        return moved

    async def _move_cache(self, request_id: RequestId, old: Stage, new: Stage) -> bool:
        target = f"/v1/streams/{request_id}/kv"
        try:
            exported = await self._client.request(
                old.address, "GET", target, timeout=_TRANSFER_TIMEOUT
            )
            if exported.status != _OK:
                return False
            imported = await self._client.request_json(
                new.address,
                "PUT",
                target,
                exported.read_json(),
                timeout=_TRANSFER_TIMEOUT,
            )
        except (TransportError, ValueError) as error:
            log_event("cache_move_failed", server=old.server, error=error)
            return False
        return imported.status == _OK


def _pair_stages(old: Route, new: Route) -> Iterator[tuple[Stage, Stage]]:
    """Yield the old and new stage of each layer range that has changed its server."""
    stages_by_layers = {
        (stage.first_layer, stage.last_layer): stage for stage in old.stages
    }
    for stage in new.stages:
        old_stage = stages_by_layers.get((stage.first_layer, stage.last_layer))
        if old_stage is not None and old_stage.server != stage.server:
            yield old_stage, stage
