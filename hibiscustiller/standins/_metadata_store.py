"""Stand-in for the platform's metadata store: keys, leases, watches and faults.

It can be restored from a copy of an earlier state, as after a drill.
"""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import curio

from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock
from hibiscustiller.wire import HttpLimits, HttpRequest, HttpServer, Responder

_PAGE_ITEMS = 50
_WATCH_POLL_S = 0.005


@dataclass
class MetadataFaults:
    """Faults that a test switches on.

    :param is_down: every call is answered 503; nothing is done.
    :param is_silent: calls get no answer; nothing is done.
    :param cuts_watches: the connection of each watch breaks at once; reads work.
    :param tells_loss_late: a watch from a dropped revision learns it with the next
        change only.
    :param drops_answers: writes are done and their connection breaks.
    """

    is_down: bool = False
    is_silent: bool = False
    cuts_watches: bool = False
    tells_loss_late: bool = False
    drops_answers: bool = False


@dataclass(frozen=True)
class StoreCopy:
    """An earlier state of the store.

    :param time_to_live_by_lease: the leases that existed.
    """

    items: dict[str, _Item]
    revision: int
    history: list[dict[str, Any]]
    time_to_live_by_lease: dict[int, timedelta]


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int
    era: int


class MetadataStoreStandin:
    """A small metadata store in one process.

    :param clock: ends leases.
    :param address: where it listens.
    """

    def __init__(self, clock: Clock, address: Address | None = None) -> None:
        self._clock = clock
        self.faults = MetadataFaults()
        self.calls = 0
        # Rises with each restore; every answer names it.
        self.era = 1
        self.revision = 1
        self.items: dict[str, _Item] = {}
        # What reads that may be old find; None for the present state.
        self._old_state: tuple[dict[str, _Item], int] | None = None
        self._history: list[dict[str, Any]] = []
        self._first_revision = 1
        self._leases: dict[int, tuple[timedelta, timedelta]] = {}
        self._last_lease = 0
        self.server = HttpServer(
            address or Address("127.0.0.1", 0),
            self._handle,
            HttpLimits(),
            "metadata store",
        )

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.server.address

    async def start(self) -> None:
        """Start to listen."""
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.close()

    def put(self, key: str, value: Any, lease: int = 0) -> None:
        """Write a key as another writer would; values other than bytes as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        before = self.items.get(key)
        created = self.revision if before is None else before.created
        self.items[key] = _Item(data, self.revision, created, lease, self.era)
        self._history.append(_encode(key, self.items[key]))

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "rev": self.revision, "deleted": True}
            self._history.append(event)

    def forget_history(self) -> None:
        """Drop the history; watches from older revisions get 410."""
        self._history.clear()
        self._first_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the present state, to which the store can be restored."""
        return StoreCopy(
            dict(self.items),
            self.revision,
            list(self._history),
            {lease: ttl for lease, (_, ttl) in self._leases.items()},
        )

    def restore(self, copy: StoreCopy) -> None:
        """Return to an earlier state; later writes and leases are lost.

        Revisions after the copy's are given out again. A watch that waits goes on and
        hears of the changes after its own revision only.
        """
        self.items, self.revision = dict(copy.items), copy.revision
        self._history = list(copy.history)
        now = self._clock.monotonic()
        self._leases = {
            lease: (now + ttl, ttl) for lease, ttl in copy.time_to_live_by_lease.items()
        }
        self._old_state = None
        self.era += 1

    def write_again(self, newest: StoreCopy) -> None:
        """Write what operators and servers had written before a restore.

        What they have written since is kept.

        :param newest: the state before the restore.
        """
        for key in {*newest.items, *self.items}:
            lost, present = newest.items.get(key), self.items.get(key)
            is_written = present is not None and present.era == self.era
            if not key.startswith(("op/", "servers/")) or is_written:
                continue
            if lost is None:
                self.delete(key)
            elif present is None or present.value != lost.value:
                self.put(key, lost.value)

    def hold_back_old_reads(self) -> None:
        """Answer reads that may be old with the present state from now on."""
        self._old_state = dict(self.items), self.revision

    def expire_leases(self) -> None:
        """End leases whose time is up; every call does so too."""
        now = self._clock.monotonic()
        for lease, (until, _) in list(self._leases.items()):
            if now >= until:
                self._end_lease(lease)

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        self.calls += 1
        self._name_era(responder)
        if self.faults.is_silent:
            await curio.sleep(60)
        if self.faults.is_down:
            await responder.send_json(503, {"error": "down"})
            return
        self.expire_leases()
        path, query = request.path, request.query_by_name
        if path == "/kv-key":
            await self._answer_key(query["key"], responder)
        elif path == "/kv-range":
            await responder.send_json(200, self._make_page(query))
        elif path == "/kv-watch":
            await self._answer_watch(query, responder)
        else:
            await self._answer_write(request, responder)

    def _name_era(self, responder: Responder) -> None:
        responder.extra_headers["store-era"] = str(self.era)

    async def _answer_key(self, key: str, responder: Responder) -> None:
        item = self.items.get(key)
        if item is None:
            await responder.send_json(404, {"current_rev": self.revision})
            return
        values = {**_encode(key, item), "current_rev": self.revision}
        await responder.send_json(200, values)

    def _make_page(self, query: Any) -> dict[str, Any]:
        after = query.get("after", "")
        items, revision = self.items, self.revision
        if query.get("serializable") == "1" and self._old_state is not None:
            items, revision = self._old_state
        keys = sorted(
            key for key in items if key.startswith(query["prefix"]) and key > after
        )
        page = keys[:_PAGE_ITEMS]
        return {
            "items": [_encode(key, items[key]) for key in page],
            "has_more": len(keys) > len(page),
            "current_rev": revision,
        }

    async def _answer_watch(self, query: Any, responder: Responder) -> None:
        after = int(query["after"])
        waited = 0.0
        if after > self.revision:
            await responder.send_json(410, {"error": "no such revision"})
            return
        while True:
            self._name_era(responder)
            if self.faults.cuts_watches:
                return
            is_lost = after < self._first_revision and after < self.revision
            if is_lost and (self._history or not self.faults.tells_loss_late):
                await responder.send_json(410, {"error": "history is gone"})
                return
            self.expire_leases()
            events = self._list_events(query["prefix"], after)
            if events or waited >= int(query["wait_ms"]) / 1000:
                answer = {"events": events, "current_rev": self.revision}
                await responder.send_json(200, answer)
                return
            await curio.sleep(_WATCH_POLL_S)
            waited += _WATCH_POLL_S

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event["rev"] > after and event["key"].startswith(prefix)
        ]

    async def _answer_write(self, request: HttpRequest, responder: Responder) -> None:
        status, answer = self._write(request)
        if self.faults.drops_answers:
            # Ends the connection without an answer.
            return
        await responder.send_json(status, answer)

    def _write(self, request: HttpRequest) -> tuple[int, dict[str, Any]]:
        if request.path == "/kv-txn":
            return self._commit(request.read_json())
        if request.path == "/kv-lease":
            self._last_lease += 1
            ttl = timedelta(milliseconds=request.read_json()["ttl_ms"])
            self._leases[self._last_lease] = (self._clock.monotonic() + ttl, ttl)
            return 200, {"lease": self._last_lease, "ttl_ms": ttl.total_seconds() * 1e3}
        lease = int(request.path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {"error": "no such lease"}
        if request.path.startswith("/kv-keep/"):
            ttl = self._leases[lease][1]
            self._leases[lease] = (self._clock.monotonic() + ttl, ttl)
            return 200, {"ttl_ms": ttl.total_seconds() * 1e3}
        self._end_lease(lease)
        return 200, {}

    def _commit(self, values: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = values["expected"]
        if any(self._get_revision(row["key"]) != row["rev"] for row in expected):
            found = [
                _encode(row["key"], self.items[row["key"]])
                for row in expected
                if row["key"] in self.items
            ]
            return 412, {"items": found}
        for row in values["puts"]:
            if row["lease"] and row["lease"] not in self._leases:
                return 404, {"error": "no such lease"}
        for row in values["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in values["remove"]:
            self.delete(key)
        return 200, {"rev": self.revision}

    def _get_revision(self, key: str) -> int:
        item = self.items.get(key)
        return 0 if item is None else item.revision

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key, item in list(self.items.items()):
            if item.lease == lease:
                self.delete(key)


def _encode(key: str, item: _Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode("ascii"),
        "rev": item.revision,
        "created": item.created,
        "lease": item.lease,
    }
