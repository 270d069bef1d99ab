"""Sharing of the organisations' usage between routers.

Each organisation belongs to one of 16 shards, and each shard to the router that ranks
first for it. A router reports its sums to the shards' owners, which answer with what
the other routers used. A sum replaces the earlier one of the same router, so a report
that is lost is repaired by the next.
"""

from __future__ import annotations

import hashlib
import random
from collections import defaultdict
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Protocol

from hibiscustiller.membership._transport import PeerTransport
from hibiscustiller.utils import Clock, RouterId, rank_by_rendezvous
from hibiscustiller.wire._messages_generated import (
    UsageEntry,
    UsageReport,
    UsageTotals,
)

SHARD_COUNT = 16
_PERIOD = timedelta(seconds=1)
# What an owner may spend on reports and replies together. Of the 7 KB/s of a daemon,
# everything else takes 4.0 KB/s at the planned size (docs/decisions/0005).
OWNER_BYTES_PER_SECOND = 2800
# In a large fleet a report names fewer organisations rather than come less often. The
# period is the half-life of usage, after which half of a total has decayed. One entry
# is always sent, which takes longer than this above about 150 routers.
_ENTRIES_PERIOD = timedelta(seconds=10)
# Upper bounds of a message's size: frame, envelope and a sender's id of 24 characters,
# and for each entry what is added to its two names.
_MESSAGE_BYTES = 56
_ENTRY_BYTES = 24


class UsageLedger(Protocol):
    """This router's own usage, as ``limits.UsageLedger`` offers it."""

    def collect_usage(self) -> tuple[UsageEntry, ...]:
        """Return decayed sums of the tokens used by organisation and class."""
        ...

    def apply_totals(self, entries: tuple[UsageEntry, ...]) -> None:
        """Take over what the other routers used."""
        ...


class UsageAggregator(Protocol):
    """Totals over routers, as ``limits.UsageAggregator`` offers them."""

    def add_report(self, sender: RouterId, entries: tuple[UsageEntry, ...]) -> None:
        """Take over a router's sums, in place of its earlier ones."""
        ...

    def list_totals(self, sender: RouterId) -> tuple[UsageEntry, ...]:
        """Return what all other routers used, for a router's last report."""
        ...


class UsageSharing:
    """Reports usage to the owners and answers those who report to this router.

    :param mesh: connections to the other routers.
    :param ledger: this router's usage.
    :param aggregator: totals of the shards that this router owns.
    :param clock: source of time.
    :param random_state: source of jitter.
    """

    def __init__(
        self,
        mesh: PeerTransport,
        ledger: UsageLedger,
        aggregator: UsageAggregator,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._mesh = mesh
        self._ledger = ledger
        self._aggregator = aggregator
        self._clock = clock
        self._random_state = random_state
        self._message_bytes = 0
        # Reports since an entry was last sent, for those that had to wait.
        self._waits_by_key: dict[tuple[str, str], int] = {}
        mesh.register(UsageReport, self._take_report)
        mesh.register(UsageTotals, self._take_totals)

    async def run(self) -> None:
        """Report periodically until cancelled."""
        while True:
            period = find_period(len(self._mesh.list_members()), self._message_bytes)
            await self._clock.sleep(period * (0.75 + 0.5 * self._random_state.random()))
            await self.report_once()

    async def report_once(self) -> None:
        """Send this router's usage to the shards' owners."""
        entries = self._ledger.collect_usage()
        members = [member.router_id for member in self._mesh.list_members()]
        allowed_bytes = find_allowed_bytes(len(members))
        own_id = self._mesh.self_member.router_id
        self._message_bytes = 0
        waits: dict[tuple[str, str], int] = {}
        for owner, owned in group_by_owner(entries, members).items():
            if owner != own_id:
                owned = self._choose_entries(owned, allowed_bytes, waits)
                size = estimate_bytes(owned)
                self._message_bytes = max(self._message_bytes, size)
            await self._mesh.send(owner, UsageReport(tuple(owned)))
        self._waits_by_key = waits

    def _choose_entries(
        self,
        owned: list[UsageEntry],
        allowed_bytes: float,
        waits: dict[tuple[str, str], int],
    ) -> list[UsageEntry]:
        """Choose what fits, the largest usage first.

        The weight of an entry doubles with each report that leaves it out, so that a
        sum a thousand times smaller than the others waits for about ten reports.

        :param waits: filled with the entries that are left out.
        """
        if estimate_bytes(owned) <= allowed_bytes:
            return owned

        def get_urgency(entry: UsageEntry) -> int:
            waited = self._waits_by_key.get((entry.organisation, entry.class_name), 0)
            return max(1, entry.tokens) << waited

        chosen: list[UsageEntry] = []
        for entry in sorted(owned, key=get_urgency, reverse=True):
            key = (entry.organisation, entry.class_name)
            if not chosen or estimate_bytes([*chosen, entry]) <= allowed_bytes:
                chosen.append(entry)
            else:
                waits[key] = self._waits_by_key.get(key, 0) + 1
        return chosen

    async def _take_report(self, sender: RouterId, report: UsageReport) -> None:
        self._aggregator.add_report(sender, report.entries)
        totals = self._aggregator.list_totals(sender)
        await self._mesh.send(sender, UsageTotals(totals))

    async def _take_totals(self, sender: RouterId, totals: UsageTotals) -> None:
        self._ledger.apply_totals(totals.entries)


def find_period(router_count: int, message_bytes: float) -> timedelta:
    """Return the time between two reports of a router.

    Each router uses at most its share of an owner's bytes, so that the owner stays
    within them whichever routers report to it.

    :param message_bytes: size of the largest report; its reply has the same size.
    """
    seconds = router_count * 2 * message_bytes / OWNER_BYTES_PER_SECOND
    return max(_PERIOD, timedelta(seconds=seconds))


def find_allowed_bytes(router_count: int) -> float:
    """Return the size of a report that may be sent once in the entries' period."""
    share = OWNER_BYTES_PER_SECOND / 2 / router_count
    return share * _ENTRIES_PERIOD.total_seconds()


def estimate_bytes(entries: Sequence[UsageEntry]) -> int:
    """Return an upper bound of the size of a report or reply on the wire."""
    names = sum(
        len(entry.organisation.encode()) + len(entry.class_name.encode())
        for entry in entries
    )
    return _MESSAGE_BYTES + _ENTRY_BYTES * len(entries) + names


def find_shard(organisation: str) -> int:
    """Return the shard of an organisation."""
    digest = hashlib.blake2b(organisation.encode(), digest_size=1).digest()
    return digest[0] % SHARD_COUNT


def find_owner(shard: int, members: Iterable[RouterId]) -> RouterId:
    """Return the router that adds up a shard's usage."""
    return rank_by_rendezvous(f"usage/{shard}", members)[0]


def group_by_owner(
    entries: Iterable[UsageEntry], members: list[RouterId]
) -> dict[RouterId, list[UsageEntry]]:
    """Group usage by the router that adds it up."""
    owners_by_shard: dict[int, RouterId] = {}
    grouped: dict[RouterId, list[UsageEntry]] = defaultdict(list)
    for entry in entries:
        shard = find_shard(entry.organisation)
        if shard not in owners_by_shard:
            owners_by_shard[shard] = find_owner(shard, members)
        grouped[owners_by_shard[shard]].append(entry)
    return grouped
