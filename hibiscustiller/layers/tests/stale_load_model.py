"""Model of routers that choose among servers by old load reports, and the methods.

A server runs ``slots`` requests, each for a random time of mean ``WORK_S / speed``, and
rejects any more. Each router broadcasts its use at a fixed period, with its own phase.
"""

import heapq
import random
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.layers._even_choice import ServerLoad, choose_evenly, measure_peak

SPEEDS = (1, 2, 4, 8, 16) * 4
FASTEST = (4, 9, 14, 19)
DOMAINS = 3
SLOTS = 12
WORK_S = 3.2
REMOTE_COST_FACTOR = 1.1
SAMPLE_S = 0.05
# Measured after all routers have reported, for this time.
MEASURED_S = 10.0
BURST_S = (2.0, 4.0)
LOSS_S = (5.0, 7.0)


@dataclass
class Case:
    """One run of the model.

    :param period_s: time between two reports of a router.
    :param load: share of the capacity that is asked for, without bursts.
    :param burst: factor on the arrival rate during ``BURST_S``.
    :param lost: number of servers that are away during ``LOSS_S``.
    """

    routers: int
    period_s: float
    load: float = 0.6
    burst: float = 1.0
    lost: int = 0
    seed: int = 1


@dataclass
class Result:
    """What one run measured.

    :param peak: mean ratio of the busiest server's use to the mean use.
    :param full: share of the time in which a server is full while another is empty.
    :param rejected: share of the arrivals that met a full server.
    :param crossed: share of the arrivals that were sent to another domain.
    """

    peak: float
    full: float
    rejected: float
    crossed: float


def is_remote(router, n):
    """Tell whether a server is in another domain than a router."""
    return n // 5 % DOMAINS != router % DOMAINS


class View:
    """What one router knows when it chooses: the arguments of a method."""

    def __init__(self, model, router):
        self.router, self.model = router, model
        self.ids = [n for n in range(len(SPEEDS)) if n not in model.lost]
        self.own = model.own[router]
        self.age_s = model.case.period_s / 2
        sent = model.sent[router]
        self.reported = [t - s for t, s in zip(model.total_sent, sent, strict=True)]
        self.random_state = model.random_state

    def use(self, n):
        return self.own[n] + self.reported[n]

    def cost(self, n):
        factor = REMOTE_COST_FACTOR if is_remote(self.router, n) else 1.0
        return factor / SPEEDS[n]

    def loads(self):
        return [
            ServerLoad(
                1 / SPEEDS[n],
                SLOTS,
                self.own[n],
                self.reported[n],
                timedelta(seconds=WORK_S / SPEEDS[n]),
                is_remote(self.router, n),
            )
            for n in self.ids
        ]


def best_of(view, ids):
    """The lowest cost by the reports, with own sends and ends since then."""
    return min(
        ids,
        key=lambda n: (
            (1 + view.use(n) / SLOTS) * view.cost(n),
            view.random_state.random(),
        ),
    )


def best_of_all(view):
    return best_of(view, view.ids)


def best_by_report(view):
    """Without own sends and ends since the last report."""
    sent = view.model.sent[view.router]
    total = [r + s for r, s in zip(view.reported, sent, strict=True)]
    return min(view.ids, key=lambda n: (1 + total[n] / SLOTS) * view.cost(n))


def best_of_two(view):
    return best_of(view, view.random_state.sample(view.ids, 2))


def by_free_capacity(view):
    """Free slots by the reports, each worth its speed."""
    weights = [max(0.01, SLOTS - view.use(n)) / view.cost(n) for n in view.ids]
    return view.random_state.choices(view.ids, weights)[0]


def best_of_age_spread(view):
    """The best of a sample that is smaller the older the reports are."""
    size = max(1, min(len(view.ids), round(2 / view.age_s)))
    return best_of(view, view.random_state.sample(view.ids, size))


def best_of_subset(view):
    """The best of six servers that the router always uses."""
    ids = random.Random(view.router).sample(range(len(SPEEDS)), 6)
    return best_of(view, [n for n in ids if n in view.ids] or view.ids)


def one_allocator(view):
    """One process chooses for all routers; it knows all requests."""
    use = [sum(column) for column in zip(*view.model.own, strict=True)]
    free = [n for n in view.ids if use[n] < SLOTS] or view.ids
    return min(free, key=lambda n: (1 + use[n] / SLOTS) * view.cost(n))


def even(view):
    loads, age = view.loads(), timedelta(seconds=view.age_s)
    routers = view.model.case.routers
    return view.ids[choose_evenly(loads, age, routers, view.random_state)]


METHODS = {
    "best by report": best_by_report,
    "best, own counted": best_of_all,
    "best of two": best_of_two,
    "free capacity": by_free_capacity,
    "age spread": best_of_age_spread,
    "subset": best_of_subset,
    "even": even,
    "one allocator": one_allocator,
}


class Model:
    """State of a run: requests in flight by router and server, and last reports."""

    def __init__(self, case):
        self.case = case
        self.random_state = random.Random(case.seed)
        self.own = [[0] * len(SPEEDS) for _ in range(case.routers)]
        self.sent = [[0] * len(SPEEDS) for _ in range(case.routers)]
        self.total_sent = [0] * len(SPEEDS)
        self.lost = ()

    def run(self, method):
        case, random_state = self.case, self.random_state
        rate = case.load * SLOTS * sum(SPEEDS) / WORK_S
        start = 2 + case.period_s
        use = [0] * len(SPEEDS)
        peaks, full, counts = [], 0, [0, 0, 0]
        events = [(0.0, 0, "arrive", None), (start, 1, "sample", None)]
        for r in range(case.routers):
            at = case.period_s * random_state.random()
            events.append((at, 2 + r, "report", r))
        heapq.heapify(events)
        serial = case.routers + 2
        while events[0][0] < start + MEASURED_S:
            now, _, kind, detail = heapq.heappop(events)
            serial += 1
            if kind == "end":
                r, n = detail
                use[n] -= 1
                self.own[r][n] -= 1
            elif kind == "report":
                for n, count in enumerate(self.own[detail]):
                    self.total_sent[n] += count - self.sent[detail][n]
                self.sent[detail] = list(self.own[detail])
                heapq.heappush(events, (now + case.period_s, serial, kind, detail))
            elif kind == "sample":
                # The fastest servers of some groups are lost.
                is_away = LOSS_S[0] <= now - start < LOSS_S[1]
                self.lost = FASTEST[: case.lost] if is_away else ()
                present = [n for n in range(len(SPEEDS)) if n not in self.lost]
                shares = [use[n] / SLOTS for n in present]
                peaks.append(measure_peak(shares))
                full += max(shares) >= 1 and min(shares) == 0
                heapq.heappush(events, (now + SAMPLE_S, serial, kind, None))
            else:
                factor = case.burst if BURST_S[0] <= now - start < BURST_S[1] else 1.0
                at = now + random_state.expovariate(rate * factor)
                heapq.heappush(events, (at, serial, kind, None))
                r = random_state.randrange(case.routers)
                n = method(View(self, r))
                is_rejected = use[n] >= SLOTS
                if now >= start:
                    counts[0] += 1
                    counts[1] += is_rejected
                    counts[2] += is_remote(r, n)
                if not is_rejected:
                    use[n] += 1
                    self.own[r][n] += 1
                    hold = random_state.expovariate(SPEEDS[n] / WORK_S)
                    heapq.heappush(events, (now + hold, -serial, "end", (r, n)))
        return Result(
            sum(peaks) / len(peaks),
            full / len(peaks),
            counts[1] / counts[0],
            counts[2] / counts[0],
        )
