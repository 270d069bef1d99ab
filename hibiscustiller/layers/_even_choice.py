"""Choice among servers by many routers at the same moment, from old load reports.

Load: 13 to 330 routers choose among the same servers by reports that are 0.2 to 5 s
old. If each chose the server that looks best, all would choose the same one until the
next reports, and the servers would be overloaded in turn while others idle.

Each router therefore estimates how many requests it cannot see, spreads them over the
servers so that all reach the same level, and chooses a server at random in proportion
to what it lacks to that level ("load interpretation"). With fresh reports only the
least used servers lack any; with old ones, most reported requests have ended, and each
server gets its share of all requests. This module performs no I/O.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

# A router receives at most 40 reports per second, and a report is half a period old on
# average. Older ones are measured; this is the age before the first reports.
_MEAN_AGE_PER_ROUTER_S = 0.5 / 40
# Arrivals may be this many times as frequent as when the reports were sent: bursts have
# 2.5 times the usual rate, and the reports show a part of them.
_SURGE_FACTOR = 2.0
# At most this share of the reported requests counts as ended. An imbalance that
# persists, for example since holds are estimated wrongly, shows in the reports only.
_MAX_ENDED_SHARE = 0.5
# If the estimated load exceeds this share of the capacity, the servers count as larger
# in proportion: an overload is spread by capacity.
_MAX_USED_SHARE = 0.9
# A server that is at most this many times slower than the best one is used like it: its
# answers still meet targets, and unused capacity leads to rejections elsewhere.
_TOLERATED_COST_RATIO = 8.0
# Lower bound of the share of a server where this router has more requests than it
# should, so that it is still tried.
_MIN_DEFICIT = 0.05
# Lower bound of the weight of other domains. A router that never crosses would not
# learn that it may have to.
_MIN_REMOTE_WEIGHT = 0.05
# Lower bounds that keep quotients finite.
_MIN_AGE_S = 0.001
_MIN_COST = 1e-9


@dataclass(frozen=True)
class ServerLoad:
    """What a router knows of a server, or of a pipeline.

    :param cost: time that a request takes, relative to the other servers.
    :param capacity: number of requests that it can run at once.
    :param own: requests of this router that it runs; exact.
    :param reported: requests of the other routers that it ran by their last reports.
    :param hold: how long a request stays at the server.
    :param is_remote: whether it is in another domain than the router.
    :param penalty: factor on the cost for failures, at least 1.
    """

    cost: float
    capacity: float
    own: float
    reported: float
    hold: timedelta
    is_remote: bool = False
    penalty: float = 1.0


def choose_evenly(
    servers: Sequence[ServerLoad],
    report_age: timedelta,
    router_count: int,
    random_state: random.Random,
) -> int:
    """Return the index of a server, chosen at random by :func:`compute_shares`.

    :param servers: at least one server.
    """
    shares = compute_shares(servers, report_age, router_count)
    return random_state.choices(range(len(servers)), shares)[0]


def compute_shares(
    servers: Sequence[ServerLoad], report_age: timedelta, router_count: int
) -> list[float]:
    """Return the relative share of the new requests that each server should receive.

    :param report_age: mean age of the other routers' reports.
    :param router_count: number of routers that choose, including this one.
    """
    least_age_s = max(_MIN_AGE_S, router_count * _MEAN_AGE_PER_ROUTER_S)
    age_s = max(least_age_s, report_age.total_seconds())
    holds_s = [max(_MIN_AGE_S, server.hold.total_seconds()) for server in servers]
    ended_shares = [
        min(_MAX_ENDED_SHARE, 1.0 - math.exp(-age_s / hold_s)) for hold_s in holds_s
    ]
    known = [
        server.own + server.reported * (1.0 - ended)
        for server, ended in zip(servers, ended_shares, strict=True)
    ]
    unknown = _estimate_unknown(servers, known, router_count)
    remote_weight = _compute_remote_weight(servers)
    needs = [
        need * (remote_weight if server.is_remote else 1.0)
        for server, need in zip(servers, _fill(servers, known, unknown), strict=True)
    ]
    if sum(needs) <= 0.0:
        # No server has any capacity.
        return [1.0 / max(_MIN_COST, s.cost * s.penalty) for s in servers]
    # To hold a number of requests at a server, more have to be sent the faster it is.
    return [
        need / (hold_s * ended) * deficit
        for need, hold_s, ended, deficit in zip(
            needs, holds_s, ended_shares, _compute_deficits(servers, needs), strict=True
        )
    ]


def measure_peak(used_shares: Sequence[float]) -> float:
    """Return the ratio of the busiest server's use to the mean; 1 is even.

    :param used_shares: use of each server as a share of its capacity.
    """
    total = sum(used_shares)
    return max(used_shares) * len(used_shares) / total if total > 0.0 else 1.0


def _estimate_unknown(
    servers: Sequence[ServerLoad], known: Sequence[float], router_count: int
) -> float:
    """Estimate how many requests run that this router cannot see, and the new one.

    Requests that have ended since the reports were replaced by others. The own
    requests show a burst before the reports do.
    """
    own = sum(server.own for server in servers)
    seen = own + sum(server.reported for server in servers)
    capacity = sum(server.capacity for server in servers)
    running = max(
        _SURGE_FACTOR * seen, min(own * router_count, _MAX_USED_SHARE * capacity)
    )
    unseen_share = 1.0 - sum(known) / max(1.0, seen)
    return 1.0 + unseen_share * running


def _compute_remote_weight(servers: Sequence[ServerLoad]) -> float:
    """Return the weight of servers in other domains against those in the own one.

    It is the used share of the own domain: the busier it is, the more requests cross.
    """
    own_domain = [server for server in servers if not server.is_remote]
    capacity = sum(server.capacity for server in own_domain)
    if capacity <= 0.0:
        return 1.0
    used = sum(server.own + server.reported for server in own_domain)
    return min(1.0, max(_MIN_REMOTE_WEIGHT, used / capacity))


def _fill(
    servers: Sequence[ServerLoad], known: Sequence[float], unknown: float
) -> list[float]:
    """Distribute requests over servers so that they reach the same level.

    The level is the cost, which rises with the use as in a queue: ``cost / (1 - use /
    capacity)``. Costs within the tolerated ratio count as equal, so these servers reach
    the same used share. A server that is above the level gets nothing.
    """
    capacity = sum(server.capacity for server in servers)
    total = sum(known) + unknown
    scale = max(1.0, total / max(_MIN_COST, _MAX_USED_SHARE * capacity))
    tolerated = _TOLERATED_COST_RATIO * min(server.cost for server in servers)
    rooms, slopes = [], []
    for server, used in zip(servers, known, strict=True):
        cost = max(1.0, server.cost / max(_MIN_COST, tolerated)) * server.penalty
        rooms.append(max(0.0, server.capacity * scale - used))
        slopes.append(cost * server.capacity * scale)
    # In the order of the levels at which the servers get their first request.
    order = sorted(
        (slope / room, slope, room)
        for slope, room in zip(slopes, rooms, strict=True)
        if room > 0.0
    )
    level, room_sum, slope_sum = math.inf, 0.0, 0.0
    for first_level, slope, room in order:
        if first_level >= level:
            break
        room_sum += room
        slope_sum += slope
        if room_sum > unknown:
            level = slope_sum / (room_sum - unknown)
    return [
        max(0.0, room - slope / level) if room > 0.0 else 0.0
        for room, slope in zip(rooms, slopes, strict=True)
    ]


def _compute_deficits(
    servers: Sequence[ServerLoad], needs: Sequence[float]
) -> list[float]:
    """Return a weight for each server by what this router's own requests lack there.

    A router that keeps its own requests in proportion adds less chance to the sum of
    all choices. Requests also accumulate at a server that answers slowly or not at all,
    which then gets fewer at once.
    """
    per_need = (1.0 + sum(server.own for server in servers)) / sum(needs)
    return [
        max(_MIN_DEFICIT, 1.0 - server.own / (1.0 + need * per_need))
        for server, need in zip(servers, needs, strict=True)
    ]
