"""Selection of routes over backend servers, and estimates of their loads."""

from hibiscustiller.routing._cache_view import (
    BLOCK_TOKENS,
    CacheEvent,
    CacheView,
    hash_prefixes,
)
from hibiscustiller.routing._loads import ServerLoads
from hibiscustiller.routing._observer import StreamObserver
from hibiscustiller.routing._planner import RoutePlanner
from hibiscustiller.routing._polling import CacheEventPoller
from hibiscustiller.routing._routes import Route, Stage, check_route, get_link_delay
from hibiscustiller.routing._search import (
    ModelIndex,
    StageOption,
    choose_cheapest,
    find_cheapest_route,
)
from hibiscustiller.routing._subset import DEFAULT_SUBSET_SIZE, choose_subset

__all__ = [
    "BLOCK_TOKENS",
    "CacheEvent",
    "CacheEventPoller",
    "CacheView",
    "DEFAULT_SUBSET_SIZE",
    "ModelIndex",
    "Route",
    "RoutePlanner",
    "ServerLoads",
    "Stage",
    "StageOption",
    "StreamObserver",
    "check_route",
    "choose_cheapest",
    "choose_subset",
    "find_cheapest_route",
    "get_link_delay",
    "hash_prefixes",
]
