"""Routes over backend servers, and this router's view of their loads."""

from hibiscustiller.routing._loads import ServerLoads
from hibiscustiller.routing._observer import StreamObserver
from hibiscustiller.routing._planner import RoutePlanner
from hibiscustiller.routing._routes import (
    Route,
    Stage,
    check_route,
    find_cheapest_route,
    get_link_delay,
)

__all__ = [
    "Route",
    "RoutePlanner",
    "ServerLoads",
    "Stage",
    "StreamObserver",
    "check_route",
    "find_cheapest_route",
    "get_link_delay",
]
