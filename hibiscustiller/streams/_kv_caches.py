"""Movement of KV caches between backend servers, instead of replay."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from datetime import timedelta

from hibiscustiller.configuration import FleetConfig
from hibiscustiller.exceptions import TransportError
from hibiscustiller.routing import Route, Stage, get_link_delay
from hibiscustiller.utils import RequestId, ServerId, log_event
from hibiscustiller.wire import HttpClient

_OK = 200
# Bytes a second of a link that the document does not name; as in its default.
_DEFAULT_BANDWIDTH = 1e9
# The whole movement must leave most of the 2 s recovery target to the new attempt.
_TIMEOUT = timedelta(milliseconds=500)
# The estimates are rough; movement must be clearly cheaper than replay.
_MARGIN = 0.8
# A fast first token lowers the estimate of a replay at once. It rises again by this
# factor with each slower one, as those may have waited in a queue.
_RISE = 1.02

# A shorter replay takes less than a few token times, and the first token of a shorter
# prompt tells the engine's pace more than its replay.
_MIN_TOKENS = 512

# Tells whether an import beats the replay of a number of tokens.
ShouldImport = Callable[[Stage, Stage, int], bool]


class ReplayEstimator:
    """Compares the import of a stage's KV cache with a replay.

    :param get_config: returns the configuration in force.
    """

    def __init__(self, get_config: Callable[[], FleetConfig]) -> None:
        self._get_config = get_config
        self._seconds_per_token: float | None = None

    def note_first_token(self, delay: timedelta, tokens: int) -> None:
        """Learn the time a token of a replay from an attempt's first token.

        :param delay: time from the attempt's start.
        :param tokens: prompt and emitted tokens that were replayed.
        """
        if tokens < _MIN_TOKENS:
            return
        seconds = delay.total_seconds() / tokens
        known = self._seconds_per_token
        if known is None or seconds < known:
            self._seconds_per_token = seconds
        else:
            self._seconds_per_token = min(seconds, known * _RISE)

    def should_import(self, old: Stage, new: Stage, tokens: int) -> bool:
        """Tell whether an import is clearly cheaper; without measurements it is not."""
        config = self._get_config()
        server = config.servers_by_id.get(old.server)
        if tokens < _MIN_TOKENS or self._seconds_per_token is None or server is None:
            return False
        model = config.models_by_name[server.model]
        held = tokens * (old.last_layer - old.first_layer) / model.layers
        replay = held * self._seconds_per_token
        size = held * model.kv_bytes_per_token
        return _estimate_import(config, old, new, size) < _MARGIN * replay


def _estimate_import(config: FleetConfig, old: Stage, new: Stage, size: float) -> float:
    """Estimate an import in seconds: the bytes cross this router on their way."""
    domains = (old.failure_domain, new.failure_domain)
    link = config.links_by_domains.get(frozenset(domains))
    bandwidth = _DEFAULT_BANDWIDTH if link is None else link.bytes_per_second
    delay = get_link_delay(config, *domains).total_seconds()
    return 2.0 * size / bandwidth + 4.0 * delay


class CacheMover:
    """Moves KV caches of stages that still answer to the servers that replace them.

    :param client: HTTP client.
    :param should_import: decides for each stage.
    """

    def __init__(self, client: HttpClient, should_import: ShouldImport) -> None:
        self._client = client
        self._should_import = should_import

    async def move_caches(
        self,
        request_id: RequestId,
        old: Route,
        new: Route,
        lost: frozenset[ServerId],
        tokens: int,
    ) -> int:
        """Move what is worth it; whatever fails is replayed instead.

        :param lost: servers that do not answer.
        :param tokens: prompt and emitted tokens.
        :returns: stages whose cache was moved.
        """
        moved = 0
        for before, after in _pair_stages(old, new):
            if before.server in lost or not self._should_import(before, after, tokens):
                continue
            moved += await self._move_cache(request_id, before, after)
        return moved

    async def _move_cache(self, request_id: RequestId, old: Stage, new: Stage) -> bool:
        target = f"/v1/streams/{request_id}/kv"
        try:
            exported = await self._client.request(
                old.address, "GET", target, timeout=_TIMEOUT
            )
            if exported.status != _OK:
                return False
            imported = await self._client.request_json(
                new.address, "PUT", target, exported.read_json(), timeout=_TIMEOUT
            )
        except (TransportError, ValueError) as error:
            log_event("cache_move_failed", server=old.server, error=error)
            return False
        return imported.status == _OK


def _pair_stages(old: Route, new: Route) -> Iterator[tuple[Stage, Stage]]:
    """Pair stages of the same layers that moved to another server."""
    stages_by_layers = {
        (stage.first_layer, stage.last_layer): stage for stage in old.stages
    }
    for stage in new.stages:
        before = stages_by_layers.get((stage.first_layer, stage.last_layer))
        if before is not None and before.server != stage.server:
            yield before, stage
