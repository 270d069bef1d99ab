"""Stand-in for a model engine that holds a range of layers.

It follows docs/backend-contract.md. The first stage of a route drives the pipeline:
it passes activations to the next stage and streams tokens back to the router.
"""

from __future__ import annotations

import heapq
import json
from collections import Counter, OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import curio

from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.standins._model import (
    join_context,
    pick_token,
    run_layers,
    start_activation,
)
from hibiscustiller.utils import Clock, Verdict
from hibiscustiller.wire import (
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpServer,
    Responder,
    wait_at_most,
)

_LIMITS = HttpLimits(max_body_bytes=16 << 20, idle_timeout=timedelta(minutes=5))
_STAGE_TIMEOUT = timedelta(seconds=2)
_KEEPALIVE_PERIOD = timedelta(milliseconds=250)
_BLOCK_WORDS = 16


@dataclass
class EngineFaults:
    """Faults that a test switches on.

    :param is_silent: connections stay open and nothing is answered.
    :param refuses: new streams are refused as not run.
    :param slowdown: factor on every delay.
    :param poison: a prompt with this text crashes the engine when its first token
        is computed; empty for none.
    :param duplicates_frames: every frame is sent twice.
    :param stale_frames: each frame follows one that carries an older attempt.
    :param cache_event_gap: cache events whose number divides by this are lost;
        0 for none.
    """

    is_silent: bool = False
    refuses: bool = False
    slowdown: float = 1.0
    poison: str = ""
    duplicates_frames: bool = False
    stale_frames: bool = False
    cache_event_gap: int = 0


@dataclass(frozen=True)
class EngineOptions:
    """How a stand-in engine is set up.

    :param server_id: its name in the operators' document.
    :param model: model that it holds.
    :param first_layer: first layer that it holds.
    :param last_layer: layer after the last that it holds.
    :param token_time: time a token when lightly loaded.
    :param prefill_time: time for each context token that is not cached.
    :param kv_transfer_time: time to export or import one token's KV cache.
    :param streams: streams that it runs at once.
    :param queue_limit: streams that wait before more are refused.
    :param cache_blocks: blocks of prompt prefix that it keeps.
    :param checks_fence: whether it refuses orders with an old fencing number.
    """

    server_id: str
    model: str
    first_layer: int
    last_layer: int
    version: str = "1"
    token_time: timedelta = timedelta(milliseconds=2)
    prefill_time: timedelta = timedelta(microseconds=20)
    kv_transfer_time: timedelta = timedelta(0)
    streams: int = 16
    queue_limit: int = 64
    cache_blocks: int = 256
    checks_fence: bool = False


@dataclass
class _Slots:
    """Streams that run at once; waiting ones enter in order of priority."""

    limit: int
    running: int = 0
    _waiting: list[tuple[int, int, curio.Event]] = field(default_factory=list)
    _sequence: int = 0

    @property
    def queued(self) -> int:
        return len(self._waiting)

    async def enter(self, priority: int) -> None:
        if self.running < self.limit:
            self.running += 1
            return
        self._sequence += 1
        entry = (priority, self._sequence, curio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            await entry[2].wait()
        except BaseException:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            else:
                await self.leave()
            raise

    async def leave(self) -> None:
        if self._waiting:
            await heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1


class EngineStandin:
    """A small model engine.

    :param options: how it is set up.
    :param address: where it listens.
    :param clock: paces it.
    """

    def __init__(self, options: EngineOptions, address: Address, clock: Clock) -> None:
        self.options = options
        self.faults = EngineFaults()
        self.is_leaving = False
        self.is_crashed = False
        self.role = "mixed"
        self.model = options.model
        self.version = options.version
        self.adapters: tuple[str, ...] = ()
        self.highest_fence = 0
        self.orders: list[dict[str, Any]] = []
        self.started_streams: list[str] = []
        self.prefilled_tokens = 0
        self.cached_tokens = 0
        self.calls_by_path: Counter[str] = Counter()
        self._clock = clock
        self._client = HttpClient(clock)
        self._slots = _Slots(options.streams)
        self._kv_by_stream: dict[str, int] = {}
        self._attempts_by_stream: dict[str, int] = {}
        self._cancelled: set[tuple[str, int]] = set()
        self._prefix_blocks: OrderedDict[str, None] = OrderedDict()
        self._cache_events: list[dict[str, Any]] = []
        self._event_sequence = 0
        self.server = HttpServer(address, self._handle, _LIMITS, options.server_id)

    @property
    def address(self) -> Address:
        """Where it listens."""
        return self.server.address

    @property
    def running(self) -> int:
        """Streams that run here as the first stage."""
        return self._slots.running

    async def start(self) -> None:
        """Start to listen, afresh after a crash."""
        self.is_crashed = False
        await self.server.start()

    async def close(self) -> None:
        """Stop, cutting off whatever runs."""
        self.is_crashed = True
        await self.server.close()
        await self._client.close()

    async def crash(self) -> None:
        """Die: connections break and all state is lost."""
        self.is_crashed = True
        self._kv_by_stream.clear()
        self._prefix_blocks.clear()
        self._slots = _Slots(self.options.streams)
        await self.server.close()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        parts = request.path.strip("/").split("/")
        self.calls_by_path[f"{request.method} /{'/'.join(parts[:2])}"] += 1
        await self._wait_if_silent()
        match (request.method, parts[1:]):
            case ("POST", ["streams"]):
                await self._run_stream(json.loads(request.body), responder)
            case ("DELETE", ["streams", stream_id]):
                attempt = int(request.query_by_name.get("attempt", "0"))
                self._cancelled.add((stream_id, attempt))
                await responder.send_json(200, {})
            case ("GET", ["streams", stream_id, "kv"]):
                await self._export_kv(stream_id, responder)
            case ("PUT", ["streams", stream_id, "kv"]):
                await self._import_kv(stream_id, json.loads(request.body), responder)
            case ("POST", ["stages", "run"]):
                await self._serve_stage(json.loads(request.body), responder)
            case ("GET", ["load"]):
                await responder.send_json(200, self._describe_load())
            case ("GET", ["cache-events"]):
                after = int(request.query_by_name.get("after", "0"))
                events = [e for e in self._cache_events if e["sequence"] > after]
                await responder.send_json(200, {"events": events})
            case ("GET", ["state"]):
                await responder.send_json(200, self._describe_state())
            case ("POST", ["orders"]):
                await self._take_order(json.loads(request.body), responder)
            case _:
                await responder.send_json(404, {"error": "not found"})

    async def _wait_if_silent(self) -> None:
        while self.faults.is_silent:
            await self._clock.sleep(timedelta(milliseconds=20))

    async def _run_stream(self, body: dict[str, Any], responder: Responder) -> None:
        refusal = self._find_refusal(body)
        if refusal is not None:
            await responder.send_json(
                refusal[0], {"error": refusal[1]}, headers={"x-verdict": "not-run"}
            )
            return
        await responder.start(200, "application/x-ndjson")
        slots = self._slots
        if not await self._enter_slot(body["priority"], responder):
            return
        self.started_streams.append(body["stream_id"])
        try:
            await self._generate(body, responder)
        finally:
            # A crash replaces the slots; leaving the new ones would count below zero.
            await slots.leave()
            self._kv_by_stream.pop(body["stream_id"], None)

    def _find_refusal(self, body: dict[str, Any]) -> tuple[int, str] | None:
        if self.faults.refuses or self.is_leaving:
            return 503, "not accepting streams"
        if self._slots.queued >= self.options.queue_limit:
            return 429, "queue is full"
        if body["model"] != self.model or body["version"] != self.version:
            return 503, f"holds {self.model} version {self.version}"
        stage = body["route"][0]
        held = (self.options.first_layer, self.options.last_layer)
        if not held[0] <= stage["first_layer"] < stage["last_layer"] <= held[1]:
            return 503, f"holds layers {held[0]} to {held[1]}"
        return None

    async def _enter_slot(self, priority: int, responder: Responder) -> bool:
        """Wait for a slot, sending empty lines so that the wait is not a silence."""
        slots = self._slots
        task = await curio.spawn(slots.enter, priority, daemon=True)
        try:
            while True:
                try:
                    await wait_at_most(_KEEPALIVE_PERIOD, task.wait())
                    return slots is self._slots
                except TimeoutError:
                    await responder.send_part(b"\n")
        except BaseException:
            # A stream that goes away leaves the queue, and the slot if it has one.
            await task.cancel()
            if task.exception is None:
                await slots.leave()
            raise

    async def _generate(self, body: dict[str, Any], responder: Responder) -> None:
        stream_id, attempt = body["stream_id"], body["attempt"]
        tokens = list(body["emitted"])
        context = join_context(body["prompt"], tokens)
        self._attempts_by_stream[stream_id] = attempt
        while len(tokens) < body["max_tokens"]:
            await self._wait_if_silent()
            if (stream_id, attempt) in self._cancelled:
                await self._send_line(responder, attempt, {"error": "cancelled"})
                await responder.finish()
                return
            activation = start_activation(body["model"], body["version"], context)
            call = {
                "stream_id": stream_id,
                "attempt": attempt,
                "position": len(tokens),
                "context": context,
                "activation": activation.hex(),
                "route": body["route"],
            }
            try:
                result = await self._run_with_keepalive(call, responder)
            except _StageLostError as error:
                lost = {"error": "stage-lost", "server": error.server}
                await self._send_line(responder, attempt, lost)
                await responder.finish()
                return
            token = pick_token(bytes.fromhex(result["activation"]))
            frame = {
                "position": len(tokens),
                "token": token,
                "layers": result["layers"],
            }
            await self._send_frame(responder, attempt, frame)
            tokens.append(token)
            context = f"{context} {token}"
        await self._send_line(responder, attempt, {"done": True, "reason": "length"})
        await responder.finish()

    async def _run_with_keepalive(
        self, call: dict[str, Any], responder: Responder
    ) -> dict[str, Any]:
        task = await curio.spawn(self._run_stage, call, daemon=True)
        try:
            while True:
                try:
                    await wait_at_most(_KEEPALIVE_PERIOD, task.wait())
                    break
                except TimeoutError:
                    if not self.faults.is_silent:
                        await responder.send_part(b"\n")
        except BaseException:
            await task.cancel()
            raise
        if task.exception is not None:
            raise task.exception
        return task.result

    async def _send_frame(
        self, responder: Responder, attempt: int, frame: Mapping[str, Any]
    ) -> None:
        if self.faults.stale_frames:
            stale = {**frame, "token": "stale"}
            await self._send_line(responder, attempt - 1, stale)
        await self._send_line(responder, attempt, frame)
        if self.faults.duplicates_frames:
            await self._send_line(responder, attempt, frame)

    async def _send_line(
        self, responder: Responder, attempt: int, fields: Mapping[str, Any]
    ) -> None:
        await self._wait_if_silent()
        if self.is_crashed:
            raise TransportError("crashed", Verdict.MAY_HAVE_RUN)
        line = json.dumps({"attempt": attempt, **fields}, separators=(",", ":"))
        await responder.send_part(line.encode() + b"\n")

    async def _serve_stage(self, call: dict[str, Any], responder: Responder) -> None:
        try:
            result = await self._run_stage(call)
        except _StageLostError as error:
            await responder.send_json(502, {"server": error.server})
            return
        await responder.send_json(200, result)

    async def _run_stage(self, call: dict[str, Any]) -> dict[str, Any]:
        """Run this stage's layers, then the following stages."""
        stage, *rest = call["route"]
        if self.faults.poison and self.faults.poison in call["context"]:
            await curio.spawn(self.crash, daemon=True)
            await self._clock.sleep(timedelta(seconds=1))
            raise _StageLostError(self.options.server_id)
        await self._prefill(call)
        load = max(1.0, self._slots.running / self.options.streams)
        held = self.options.last_layer - self.options.first_layer
        share = (stage["last_layer"] - stage["first_layer"]) / held
        await self._pause(self.options.token_time * load * share)
        activation = run_layers(
            bytes.fromhex(call["activation"]), stage["first_layer"], stage["last_layer"]
        )
        ran = [self.options.server_id, stage["first_layer"], stage["last_layer"]]
        if not rest:
            return {"activation": activation.hex(), "layers": [ran]}
        following = {**call, "activation": activation.hex(), "route": rest}
        result = await self._call_next(rest[0], following)
        return {"activation": result["activation"], "layers": [ran, *result["layers"]]}

    async def _call_next(
        self, stage: dict[str, Any], call: dict[str, Any]
    ) -> dict[str, Any]:
        host, _, port = stage["address"].rpartition(":")
        try:
            answer = await self._client.request_json(
                Address(host, int(port)),
                "POST",
                "/v1/stages/run",
                call,
                timeout=_STAGE_TIMEOUT,
            )
        except TransportError as error:
            raise _StageLostError(stage["server"]) from error
        value = answer.read_json()
        if answer.status != 200:
            raise _StageLostError(value.get("server", stage["server"]))
        return value

    async def _prefill(self, call: dict[str, Any]) -> None:
        """Compute the KV cache of context tokens that this stage lacks."""
        stream_id, context = call["stream_id"], call["context"]
        length = context.count(" ") + 1
        held = self._kv_by_stream.get(stream_id, 0)
        if held < length - 1:
            cached = self._count_cached_tokens(context)
            self.cached_tokens += cached
            missing = max(0, length - max(held, cached))
            self.prefilled_tokens += missing
            await self._pause(self.options.prefill_time * missing)
            self._store_prefix(context)
        self._kv_by_stream[stream_id] = length

    def _count_cached_tokens(self, context: str) -> int:
        count = 0
        for block in _list_prefixes(context):
            if block not in self._prefix_blocks:
                break
            self._prefix_blocks.move_to_end(block)
            count += _BLOCK_WORDS
        return count

    def _store_prefix(self, context: str) -> None:
        for block in _list_prefixes(context):
            if block not in self._prefix_blocks:
                self._add_cache_event("stored", block)
            self._prefix_blocks[block] = None
            self._prefix_blocks.move_to_end(block)
        while len(self._prefix_blocks) > self.options.cache_blocks:
            block, _ = self._prefix_blocks.popitem(last=False)
            self._add_cache_event("evicted", block)

    def _add_cache_event(self, kind: str, block: str) -> None:
        self._event_sequence += 1
        gap = self.faults.cache_event_gap
        if gap and self._event_sequence % gap == 0:
            return
        event = {"sequence": self._event_sequence, "kind": kind, "block": block}
        self._cache_events.append(event)

    async def _export_kv(self, stream_id: str, responder: Responder) -> None:
        length = self._kv_by_stream.get(stream_id)
        if length is None:
            await responder.send_json(404, {"error": "no such stream"})
            return
        await self._pause(self.options.kv_transfer_time * length)
        await responder.send_json(200, {"stream_id": stream_id, "tokens": length})

    async def _import_kv(
        self, stream_id: str, body: dict[str, Any], responder: Responder
    ) -> None:
        length = int(body["tokens"])
        await self._pause(self.options.kv_transfer_time * length)
        self._kv_by_stream[stream_id] = length
        await responder.send_json(200, {})

    def _describe_load(self) -> dict[str, Any]:
        return {
            "measured_at": self._clock.now().isoformat(),
            "running": self._slots.running,
            "queued": self._slots.queued,
            "state": "leaving" if self.is_leaving else "serving",
            "model": self.model,
            "version": self.version,
            "role": self.role,
        }

    def _describe_state(self) -> dict[str, Any]:
        return {
            "model": self.model,
            "version": self.version,
            "adapters": list(self.adapters),
            "role": self.role,
            "first_layer": self.options.first_layer,
            "last_layer": self.options.last_layer,
            "highest_fence": self.highest_fence,
        }

    async def _take_order(self, order: dict[str, Any], responder: Responder) -> None:
        fence = int(order["fence"])
        if self.options.checks_fence and fence < self.highest_fence:
            await responder.send_json(409, {"highest_fence": self.highest_fence})
            return
        self.highest_fence = max(self.highest_fence, fence)
        self.orders.append(order)
        match order["action"]:
            case "load":
                self.model = order["model"]
                self.version = order["version"]
                self.adapters = tuple(order.get("adapters", ()))
            case "unload":
                self.model = ""
            case "role":
                self.role = order["role"]
        await responder.send_json(200, {})

    async def _pause(self, delay: timedelta) -> None:
        if delay > timedelta(0):
            await self._clock.sleep(delay * self.faults.slowdown)


class _StageLostError(Exception):
    """A stage of the route failed."""

    def __init__(self, server: str) -> None:
        super().__init__(server)
        self.server = server


def _list_prefixes(context: str) -> list[str]:
    """List the cacheable prefixes of a context, shortest first."""
    words = context.split(" ")
    ends = range(_BLOCK_WORDS, len(words) + 1, _BLOCK_WORDS)
    return [" ".join(words[:end]) for end in ends]
