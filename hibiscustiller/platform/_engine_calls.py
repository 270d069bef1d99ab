"""Calls to servers besides requests: health checks, reports of engines, orders."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Any

from hibiscustiller.exceptions import TransportError
from hibiscustiller.fleet import BackendServer, LayerRange
from hibiscustiller.platform._decoding import UNREADABLE_ERRORS, read_number
from hibiscustiller.platform._server_entries import read_layer_range
from hibiscustiller.utils import Fence, Verdict
from hibiscustiller.wire import HttpClient

_OK = 200
_ACCEPTED = 202
_MISDIRECTED = 421


class OrderOutcome(Enum):
    """What an engine made of an order."""

    BEGUN = "begun"
    DONE = "done"
    CONFLICT = "conflict"
    OLD_FENCE = "old-fence"
    REFUSED = "refused"
    UNKNOWN = "unknown"


_OUTCOMES_BY_STATUS = {
    _ACCEPTED: OrderOutcome.BEGUN,
    _OK: OrderOutcome.DONE,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.OLD_FENCE,
}


@dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself; some hundred milliseconds old.

    :param order_count: orders that it has begun since its start.
    :param is_busy: whether an order is in progress.
    :param layers: the layers that it holds.
    :param born: start time of its process, in Unix milliseconds; 0 if not reported.
    """

    order_count: int
    is_busy: bool
    layers: LayerRange
    born: int = 0


async def order_layers(
    client: HttpClient,
    server: BackendServer,
    layers: LayerRange,
    *,
    fence: Fence,
    order_count: int | None,
    timeout: timedelta,
) -> OrderOutcome:
    """Order an engine to hold a range of layers and no others.

    :param fence: fencing token of the sender's term.
    :param order_count: the engine refuses the order if it has begun another number.
    :returns: ``UNKNOWN`` if the order may be carried out later.
    """
    order: dict[str, Any] = {
        "operation": "place",
        "from": layers.first,
        "target": layers.end,
        # Requests that pass through layers that are given up may finish.
        "drain_mode": "queue",
        "fencing_token": fence,
    }
    if order_count is not None:
        # Compared with the number of orders that the engine has begun.
        order["expected"] = order_count
    try:
        answer = await client.request_json(
            server.address,
            "POST",
            "/order",
            order,
            timeout=timeout,
            headers={"expect-instance": server.id},
        )
    except TransportError as error:
        is_sent = error.verdict is Verdict.MAY_HAVE_RUN
        return OrderOutcome.UNKNOWN if is_sent else OrderOutcome.REFUSED
    return _OUTCOMES_BY_STATUS.get(answer.status, OrderOutcome.REFUSED)


async def read_engine_report(
    client: HttpClient, server: BackendServer, timeout: timedelta
) -> EngineReport:
    """Ask an engine for its state.

    :raises TransportError: if it gives no usable answer.
    """
    answer = await client.request(
        server.address,
        "GET",
        "/report",
        timeout=timeout,
        headers={"expect-instance": server.id},
    )
    try:
        if answer.status != _OK:
            raise ValueError(f"status {answer.status}")
        values = answer.read_json()
        return EngineReport(
            order_count=int(values["sequence"]),
            is_busy=bool(values["busy"]),
            layers=read_layer_range(values.get("layers")),
            born=read_number(values, "born", 0),
        )
    except UNREADABLE_ERRORS as error:
        raise TransportError(
            f"report of {server.id} cannot be read: {error!r}", Verdict.NOT_RUN
        ) from error


async def check_process(
    client: HttpClient, server: BackendServer, health_path: str, timeout: timedelta
) -> bool:
    """Tell whether the process that is known as a server answers its health check.

    A refusal is an answer too: a server that is full or leaves runs.

    :param health_path: path of the health checks of its service.
    :returns: False if another process has answered.
    :raises TransportError: if there is no answer.
    """
    answer = await client.request(
        server.address,
        "GET",
        health_path,
        timeout=timeout,
        headers={"expect-instance": server.id},
    )
    instance = answer.headers_by_name.get("instance-id", server.id)
    if answer.status == _MISDIRECTED or instance != server.id:
        return False
    try:
        values = answer.read_json()
    except ValueError:
        return True
    born = values.get("born") if isinstance(values, dict) else None
    return born in (None, server.born)
