"""Stand-in for the platform's key-value service and list of hosts."""

from __future__ import annotations

import base64
import json
from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

import curio

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, Verdict
from hibiscustiller.wire import HttpLimits, HttpRequest, HttpServer, Responder

_LIMITS = HttpLimits(max_body_bytes=2 << 20, idle_timeout=timedelta(minutes=10))
_MAX_VALUE_BYTES = 1 << 20
# Leases end by the stand-in's clock, which a test may move at any moment.
_EXPIRY_POLL_SECONDS = 0.02
_TRANSACTION = "/v3/kv/txn"


@dataclass
class StoreFaults:
    """Faults that a test switches on.

    :param is_down: connections are closed without an answer.
    :param delay: added before each answer.
    :param lost_answers: number of coming writes that take effect unanswered.
    :param late_writes: number of coming transactions that stay unanswered and take
        effect only after ``late_delay``.
    :param truncated_answers: number of coming answers that break off half-way.
    :param garbage_answers: number of coming answers that are no JSON.
    :param wrong_statuses: number of coming answers with status 500.
    :param is_watch_silent: watches stay open without events.
    :param ends_watches: watches end at their next event.
    """

    is_down: bool = False
    delay: timedelta = timedelta(0)
    lost_answers: int = 0
    late_writes: int = 0
    late_delay: timedelta = timedelta(milliseconds=20)
    truncated_answers: int = 0
    garbage_answers: int = 0
    wrong_statuses: int = 0
    is_watch_silent: bool = False
    ends_watches: bool = False

    def take(self, name: str) -> bool:
        """Use up one of a counted fault; False if none is left."""
        count = getattr(self, name)
        if count > 0:
            setattr(self, name, count - 1)
        return count > 0


@dataclass
class _Pair:
    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass
class _Lease:
    ttl: timedelta
    expires_at: datetime
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class Backup:
    """The state of the key-value service at one time."""

    revision: int
    pairs_by_key: dict[str, _Pair]
    ttls_by_lease: dict[int, timedelta]


class PlatformStandin:
    """A small key-value service and host list in one server.

    :param address: where it listens.
    :param clock: drives leases.
    """

    def __init__(self, address: Address, clock: Clock) -> None:
        self.faults = StoreFaults()
        self.calls_by_kind: Counter[str] = Counter()
        self.host_states_by_address: dict[str, str] = {}
        self._clock = clock
        self._pairs_by_key: dict[str, _Pair] = {}
        self._leases_by_id: dict[int, _Lease] = {}
        self._revision = 1
        self._next_lease = 1000
        self._history: list[tuple[int, str, _Pair | None]] = []
        self._changed = curio.Condition()
        self._expiry_task: Any = None
        self.server = HttpServer(address, self._handle, _LIMITS, "platform")

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.server.address

    async def start(self) -> None:
        """Start to listen."""
        await self.server.start()
        self._expiry_task = await curio.spawn(self._expire_forever, daemon=True)

    async def close(self) -> None:
        """Stop and close all connections."""
        if self._expiry_task is not None:
            await self._expiry_task.cancel()
            self._expiry_task = None
        await self.server.close()

    def take_backup(self) -> Backup:
        """Return the present state, for :meth:`restore_backup`."""
        pairs = {key: _Pair(**vars(pair)) for key, pair in self._pairs_by_key.items()}
        times = {lease: item.ttl for lease, item in self._leases_by_id.items()}
        return Backup(self._revision, pairs, times)

    def restore_backup(self, backup: Backup) -> None:
        """Go back to an earlier state, as after a loss of the service's data.

        Its leases begin anew; later ones are unknown.
        """
        self._revision, pairs = backup.revision, backup.pairs_by_key
        self._leases_by_id = {
            lease: _Lease(ttl, self._clock.now() + ttl)
            for lease, ttl in backup.ttls_by_lease.items()
        }
        for key, pair in pairs.items():
            if pair.lease in self._leases_by_id:
                self._leases_by_id[pair.lease].keys.add(key)
        self._pairs_by_key = {key: _Pair(**vars(pair)) for key, pair in pairs.items()}
        self._history = [item for item in self._history if item[0] <= self._revision]

    def read_value(self, key: str) -> bytes | None:
        """Return a key's value without counting a call."""
        pair = self._pairs_by_key.get(_encode(key))
        return None if pair is None else base64.b64decode(pair.value)

    def list_keys(self) -> list[str]:
        """Return all keys without counting a call."""
        return sorted(base64.b64decode(key).decode() for key in self._pairs_by_key)

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        self.calls_by_kind[request.path] += 1
        if self.faults.delay:
            await self._clock.sleep(self.faults.delay)
        if self.faults.is_down:
            raise TransportError("switched off", Verdict.MAY_HAVE_RUN)
        if request.path == "/v1/hosts":
            await self._send_hosts(responder)
            return
        body = json.loads(request.body or b"{}")
        if request.path == "/v3/watch":
            await self._serve_watch(body["create_request"], responder)
            return
        operation = self._operations().get(request.path)
        if operation is None:
            await responder.send_json(404, {"error": "not found"})
            return
        if request.path == _TRANSACTION and self.faults.take("late_writes"):
            await curio.spawn(self._apply_late, operation, body, daemon=True)
            raise TransportError("write delayed", Verdict.MAY_HAVE_RUN)
        status, answer, is_write = await self._apply_now(operation, body)
        if is_write and self.faults.take("lost_answers"):
            raise TransportError("answer lost", Verdict.MAY_HAVE_RUN)
        await self._send_answer(responder, status, answer)

    async def _apply_now(
        self, operation: Any, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any], bool]:
        await self._expire_leases()
        before = self._revision
        status, answer = operation(body)
        is_write = self._revision != before
        if is_write:
            await self._notify_watches()
        return status, answer, is_write

    async def _apply_late(self, operation: Any, body: dict[str, Any]) -> None:
        await self._clock.sleep(self.faults.late_delay)
        await self._apply_now(operation, body)

    async def _notify_watches(self) -> None:
        async with self._changed:
            await self._changed.notify_all()

    async def _send_answer(
        self, responder: Responder, status: int, answer: dict[str, Any]
    ) -> None:
        if self.faults.take("garbage_answers"):
            await responder.send(200, b"<html>not the store</html>")
        elif self.faults.take("wrong_statuses"):
            await responder.send_json(500, {"error": "internal"})
        elif self.faults.take("truncated_answers"):
            await responder.start(200, "application/json")
            await responder.send_part(json.dumps(answer).encode()[:10])
            raise TransportError("answer cut off", Verdict.MAY_HAVE_RUN)
        else:
            await responder.send_json(status, answer)

    def _operations(self) -> dict[str, Any]:
        return {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._transact,
            "/v3/lease/grant": self._grant_lease,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke_lease,
        }

    async def _send_hosts(self, responder: Responder) -> None:
        hosts = [
            {"address": address, "state": state}
            for address, state in sorted(self.host_states_by_address.items())
        ]
        await responder.send_json(200, {"hosts": hosts})

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._revision)}

    def _range(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        start = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        pairs = [
            self._describe(key, pair)
            for key, pair in self._pairs_by_key.items()
            if _is_in_range(base64.b64decode(key), start, end)
        ]
        pairs.sort(key=lambda pair: base64.b64decode(pair["key"]))
        return 200, {"header": self._header(), "kvs": pairs, "count": str(len(pairs))}

    def _describe(self, key: str, pair: _Pair) -> dict[str, str]:
        return {
            "key": key,
            "value": pair.value,
            "create_revision": str(pair.create_revision),
            "mod_revision": str(pair.mod_revision),
            "version": str(pair.version),
            "lease": str(pair.lease),
        }

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        succeeded = all(self._compare(item) for item in body.get("compare", ()))
        operations = body.get("success" if succeeded else "failure", ())
        for operation in operations:
            put = operation.get("requestPut")
            if put and len(base64.b64decode(put["value"])) > _MAX_VALUE_BYTES:
                return 400, {"error": "request is too large", "code": 3}
            if put and int(put.get("lease", "0")) not in (0, *self._leases_by_id):
                return 404, {"error": "requested lease not found", "code": 5}
        responses = [self._apply(operation) for operation in operations]
        answer = {"header": self._header(), "responses": responses}
        if succeeded:
            answer["succeeded"] = True
        return 200, answer

    def _compare(self, item: dict[str, str]) -> bool:
        pair = self._pairs_by_key.get(item["key"])
        found = 0 if pair is None else pair.mod_revision
        return found == int(item["mod_revision"])

    def _apply(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "requestPut" in operation:
            put = operation["requestPut"]
            self._put(put["key"], put["value"], int(put.get("lease", "0")))
            return {"response_put": {"header": self._header()}}
        if "requestDeleteRange" in operation:
            self._delete(operation["requestDeleteRange"]["key"])
            return {"response_delete_range": {"header": self._header()}}
        _, answer = self._range(operation["requestRange"])
        return {"response_range": answer}

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        old = self._pairs_by_key.get(key)
        created = old.create_revision if old else self._revision
        version = old.version + 1 if old else 1
        pair = _Pair(value, created, self._revision, version, lease)
        self._pairs_by_key[key] = pair
        if lease:
            self._leases_by_id[lease].keys.add(key)
        self._history.append((self._revision, key, pair))

    def _delete(self, key: str) -> None:
        if self._pairs_by_key.pop(key, None) is not None:
            self._revision += 1
            self._history.append((self._revision, key, None))

    def _grant_lease(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        ttl = timedelta(seconds=int(body["TTL"]))
        self._next_lease += 1
        self._leases_by_id[self._next_lease] = _Lease(ttl, self._clock.now() + ttl)
        return 200, {"ID": str(self._next_lease), "TTL": body["TTL"]}

    def _keep_alive(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        lease = self._leases_by_id.get(int(body["ID"]))
        if lease is None:
            return 200, {"result": {"ID": body["ID"]}}
        lease.expires_at = self._clock.now() + lease.ttl
        seconds = round(lease.ttl.total_seconds())
        return 200, {"result": {"ID": body["ID"], "TTL": str(seconds)}}

    def _revoke_lease(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._end_lease(int(body["ID"]))
        return 200, {"header": self._header()}

    async def _expire_forever(self) -> None:
        while True:
            await curio.sleep(_EXPIRY_POLL_SECONDS)
            await self._expire_leases()
            if self.faults.is_down:
                # Open watches break as well.
                await self._notify_watches()

    async def _expire_leases(self) -> None:
        now = self._clock.now()
        before = self._revision
        for lease_id, lease in list(self._leases_by_id.items()):
            if lease.expires_at <= now:
                self._end_lease(lease_id)
        if self._revision != before:
            await self._notify_watches()

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases_by_id.pop(lease_id, None)
        if lease is None:
            return
        for key in lease.keys:
            pair = self._pairs_by_key.get(key)
            if pair is not None and pair.lease == lease_id:
                self._delete(key)

    async def _serve_watch(self, body: dict[str, Any], responder: Responder) -> None:
        start = int(body.get("start_revision", "0")) or self._revision + 1
        await responder.start(200, "application/json")
        await self._send_result(responder, {"created": True})
        while not self.faults.is_down:
            news = [
                item
                for item in self._history
                if item[0] >= start and item[1] == body["key"]
            ]
            if news and self.faults.ends_watches:
                await responder.finish()
                return
            if news and not self.faults.is_watch_silent:
                start = news[-1][0] + 1
                events = [self._describe_event(*item) for item in news]
                await self._send_result(responder, {"events": events})
                continue
            async with self._changed:
                await self._changed.wait()
        raise TransportError("switched off", Verdict.MAY_HAVE_RUN)

    def _describe_event(
        self, revision: int, key: str, pair: _Pair | None
    ) -> dict[str, Any]:
        if pair is None:
            return {"type": "DELETE", "kv": {"key": key, "mod_revision": str(revision)}}
        return {"kv": self._describe(key, pair)}

    async def _send_result(self, responder: Responder, result: dict[str, Any]) -> None:
        line = json.dumps({"result": {"header": self._header(), **result}})
        await responder.send_part(line.encode() + b"\n")


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode("ascii")


def _is_in_range(key: bytes, start: bytes, end: bytes) -> bool:
    return start <= key < end if end else key == start
