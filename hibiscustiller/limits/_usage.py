"""Attained service of organisations, shared between routers.

Usage is stored as exponentially decayed sums of tokens. Reports contain these sums
instead of increments, because messages have no sequence numbers. A message may be lost,
repeated or sent to an aggregator that was reset, and no usage is counted twice.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from hibiscustiller.utils import ClassName, Clock, OrganisationId, RouterId
from hibiscustiller.wire._messages_generated import UsageEntry

# An organisation that returns after a pause is served exclusively until its decayed
# usage has caught up, which takes up to one half-life. The half-life must therefore
# stay near the shortest deadlines.
USAGE_HALF_LIFE = timedelta(seconds=10)
# A message of 48 entries with names of 16 characters has 2.2 KB. One message per second
# in each direction uses 4.4 KB/s of the 7 KB/s that a router may use for control
# traffic.
MAX_ENTRIES_PER_MESSAGE = 48
# Entries of each message that repeat known usage in rotation, to recover from a lost
# message or a reset aggregator.
_REFRESHED_ENTRIES = 12
# Weights grow as 2^(age / half-life). At this exponent all sums are rescaled, long
# before floats overflow.
_MAX_EXPONENT = 256.0
# Decayed sums below this value no longer affect the order of organisations.
_NEGLIGIBLE_TOKENS = 0.5
# Reports between two cleanups, each of which covers one router. With one report per
# second from each router, the sums of a router are cleaned up about every half minute,
# at a cost that does not grow with the number of routers.
_REPORTS_PER_CLEANUP = 32


class UsageKey(NamedTuple):
    """Organisation and class whose usage is summed."""

    organisation: OrganisationId
    class_name: ClassName


class _DecayScale:
    """Growing weight of a token, by which sums decay without being updated.

    The weight of new tokens doubles every half-life, so that past sums lose half of
    their relative value without being rewritten.

    :param clock: source of time.
    :param rescale: multiplies all sums by a given factor.
    """

    def __init__(self, clock: Clock, rescale: Callable[[float], None]) -> None:
        self._clock = clock
        self._rescale = rescale
        self._origin = clock.monotonic()
        self.epoch = 0

    def get_weight(self) -> float:
        exponent = (self._clock.monotonic() - self._origin) / USAGE_HALF_LIFE
        while exponent > _MAX_EXPONENT:
            self._rescale(2.0**-_MAX_EXPONENT)
            self._origin += USAGE_HALF_LIFE * _MAX_EXPONENT
            self.epoch += 1
            exponent -= _MAX_EXPONENT
        return 2.0**exponent

    def convert_weight(self, weight: float, epoch: int) -> float:
        """Convert a weight of an earlier epoch to the current one."""
        return weight * 2.0 ** (-_MAX_EXPONENT * (self.epoch - epoch))


@dataclass(frozen=True)
class Charge:
    """A charge of estimated tokens, made before they are used.

    :param weight: weight of a token at the time of the charge.
    :param epoch: epoch of the decay scale in which the weight is expressed.
    """

    key: UsageKey
    tokens: int
    weight: float
    epoch: int


class UsageLedger:
    """Decayed usage by organisation and class, of this router and of the others.

    Decay does not change the order of organisations and needs no computation between
    charges; see ``_DecayScale``.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._scale = _DecayScale(clock, self._rescale)
        self._own_sums_by_key: dict[UsageKey, float] = {}
        self._other_sums_by_key: dict[UsageKey, float] = {}
        self._reported_tokens_by_key: dict[UsageKey, int] = {}
        self._refresh_queue: list[UsageKey] = []
        self.generation = 0

    def charge(
        self, organisation: OrganisationId, class_name: ClassName, tokens: int
    ) -> Charge:
        """Add tokens to the usage of an organisation.

        :returns: the charge, which :meth:`settle` corrects later.
        """
        weight = self._scale.get_weight()
        key = UsageKey(organisation, class_name)
        self._own_sums_by_key[key] = (
            self._own_sums_by_key.get(key, 0.0) + tokens * weight
        )
        return Charge(key, tokens, weight, self._scale.epoch)

    def settle(self, charge: Charge, used_tokens: int) -> None:
        """Replace the estimated tokens of a charge by the tokens used."""
        self._scale.get_weight()
        weight = self._scale.convert_weight(charge.weight, charge.epoch)
        change = (used_tokens - charge.tokens) * weight
        own = self._own_sums_by_key.get(charge.key, 0.0) + change
        # Rounding may leave a sum just below zero.
        self._own_sums_by_key[charge.key] = max(0.0, own)

    def get_scaled_usage(
        self, organisation: OrganisationId, class_name: ClassName
    ) -> float:
        """Return usage in units of the decay scale, to compare organisations.

        The value is comparable only with values of the same ``generation``.
        """
        key = UsageKey(organisation, class_name)
        return self._own_sums_by_key.get(key, 0.0) + self._other_sums_by_key.get(
            key, 0.0
        )

    def get_attained(
        self, organisation: OrganisationId, class_name: ClassName
    ) -> float:
        """Return the decayed number of tokens that an organisation used in a class."""
        weight = self._scale.get_weight()
        return self.get_scaled_usage(organisation, class_name) / weight

    def collect_usage(self) -> tuple[UsageEntry, ...]:
        """Return the entries to report, by largest change and otherwise in rotation."""
        weight = self._scale.get_weight()
        self._remove_negligible(weight)
        tokens_by_key = {
            key: round(own / weight) for key, own in self._own_sums_by_key.items()
        }
        selected = _select_entries(
            tokens_by_key, self._reported_tokens_by_key, self._refresh_queue
        )
        self._reported_tokens_by_key.update(
            (key, tokens_by_key[key]) for key in selected
        )
        return tuple(_make_entry(key, tokens_by_key[key]) for key in selected)

    def apply_totals(self, entries: tuple[UsageEntry, ...]) -> None:
        """Replace the sums of other routers; keys without an entry keep their sum."""
        weight = self._scale.get_weight()
        for entry in entries:
            self._other_sums_by_key[_get_key(entry)] = entry.tokens * weight
        self.generation += 1

    def _rescale(self, factor: float) -> None:
        for sums in (self._own_sums_by_key, self._other_sums_by_key):
            for key in sums:
                sums[key] *= factor
        self.generation += 1

    def _remove_negligible(self, weight: float) -> None:
        limit = _NEGLIGIBLE_TOKENS * weight
        for sums in (self._own_sums_by_key, self._other_sums_by_key):
            for key in [key for key, value in sums.items() if value < limit]:
                del sums[key]
        for key in self._reported_tokens_by_key.keys() - self._own_sums_by_key.keys():
            del self._reported_tokens_by_key[key]


@dataclass
class _RouterReports:
    """Usage that one router reported, in units of the decay scale."""

    sums_by_key: dict[UsageKey, float] = field(default_factory=dict)
    last_report_keys: tuple[UsageKey, ...] = ()


class UsageAggregator:
    """Sums the usage that routers report.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._scale = _DecayScale(clock, self._rescale)
        self._totals_by_key: dict[UsageKey, float] = {}
        self._reports_by_router: dict[RouterId, _RouterReports] = {}
        self._report_count = 0
        self._cleanup_queue: list[RouterId] = []

    def add_report(self, sender: RouterId, entries: tuple[UsageEntry, ...]) -> None:
        """Replace the sums of a router by those of its report."""
        weight = self._scale.get_weight()
        reports = self._reports_by_router.setdefault(sender, _RouterReports())
        for entry in entries:
            self._replace_sum(reports, _get_key(entry), entry.tokens * weight)
        reports.last_report_keys = tuple(_get_key(entry) for entry in entries)
        self._report_count += 1
        if self._report_count % _REPORTS_PER_CLEANUP == 0:
            self._remove_negligible(weight)

    def list_totals(self, sender: RouterId) -> tuple[UsageEntry, ...]:
        """Return the usage of all other routers for the keys of a router's last report.

        Keys that no other router reported are omitted. The router then keeps its
        previous sums for them, also after this aggregator was reset.
        """
        reports = self._reports_by_router.get(sender)
        if reports is None:
            return ()
        weight = self._scale.get_weight()
        entries = []
        for key in reports.last_report_keys:
            others = self._totals_by_key[key] - reports.sums_by_key[key]
            if others >= _NEGLIGIBLE_TOKENS * weight:
                entries.append(_make_entry(key, round(others / weight)))
        return tuple(entries)

    def _replace_sum(
        self, reports: _RouterReports, key: UsageKey, value: float
    ) -> None:
        change = value - reports.sums_by_key.get(key, 0.0)
        # Rounding may leave a sum just below zero.
        total = self._totals_by_key.get(key, 0.0) + change
        self._totals_by_key[key] = max(0.0, total)
        reports.sums_by_key[key] = value

    def _rescale(self, factor: float) -> None:
        sums = [reports.sums_by_key for reports in self._reports_by_router.values()]
        for values in (self._totals_by_key, *sums):
            for key in values:
                values[key] *= factor

    def _remove_negligible(self, weight: float) -> None:
        """Remove negligible sums of one router, a different one in each call."""
        if not self._cleanup_queue:
            self._cleanup_queue = list(self._reports_by_router)
        sender = self._cleanup_queue.pop()
        reports = self._reports_by_router[sender]
        limit = _NEGLIGIBLE_TOKENS * weight
        latest = frozenset(reports.last_report_keys)
        for key in [k for k, value in reports.sums_by_key.items() if value < limit]:
            if key in latest:
                continue
            self._replace_sum(reports, key, 0.0)
            del reports.sums_by_key[key]
            if self._totals_by_key[key] < limit:
                self._remove_unused_total(key)
        if not reports.sums_by_key:
            del self._reports_by_router[sender]

    def _remove_unused_total(self, key: UsageKey) -> None:
        if not any(
            key in reports.sums_by_key for reports in self._reports_by_router.values()
        ):
            del self._totals_by_key[key]


def _select_entries(
    tokens_by_key: dict[UsageKey, int],
    reported_tokens_by_key: dict[UsageKey, int],
    refresh_queue: list[UsageKey],
) -> list[UsageKey]:
    """Select the keys of one message, and advance the queue of keys to refresh."""

    def get_change(key: UsageKey) -> int:
        return abs(tokens_by_key[key] - reported_tokens_by_key.get(key, 0))

    if len(tokens_by_key) <= MAX_ENTRIES_PER_MESSAGE:
        return list(tokens_by_key)
    changed_entries = MAX_ENTRIES_PER_MESSAGE - _REFRESHED_ENTRIES
    selected = dict.fromkeys(heapq.nlargest(changed_entries, tokens_by_key, get_change))
    while len(selected) < MAX_ENTRIES_PER_MESSAGE:
        if not refresh_queue:
            refresh_queue.extend(key for key in tokens_by_key if key not in selected)
        key = refresh_queue.pop()
        if key in tokens_by_key:
            selected[key] = None
    return list(selected)


def _get_key(entry: UsageEntry) -> UsageKey:
    return UsageKey(OrganisationId(entry.organisation), ClassName(entry.class_name))


def _make_entry(key: UsageKey, tokens: int) -> UsageEntry:
    return UsageEntry(key.organisation, key.class_name, tokens)
