"""Polling of the backend servers' load reports and of the platform's host list."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING, Any

import curio

from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.membership._backends import BackendState, BackendTable, LoadReport
from hibiscustiller.platform import read_host_list
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, ServerId, jittered_delays, log_event
from hibiscustiller.wire import HttpClient

if TYPE_CHECKING:
    from hibiscustiller.configuration import FleetConfig

_LOAD_PERIOD = timedelta(seconds=1)
# One exchange takes about 400 bytes; eight a second stay below half of the 7 KB/s
# that a daemon may spend on control.
_LOADS_PER_SECOND = 8
_LOAD_TIMEOUT = timedelta(seconds=1)
_TICK = timedelta(milliseconds=250)
_HOST_LIST_PERIOD = timedelta(seconds=2)
# The fleet's reads together; the routers relay to each other what they see.
_HOST_LISTS_PER_SECOND = 20
_LONGEST_DELAY = timedelta(seconds=15)
_OK = 200


@dataclass
class _Poll:
    next_at: timedelta
    is_running: bool = False
    delays: Iterator[timedelta] | None = None


class BackendPoller:
    """Asks this router's subset of servers for their load, and the platform for hosts.

    :param table: where states and failures are noted.
    :param get_config: returns the document in force.
    :param get_subset: returns the servers that this router uses.
    :param record_report: called with each load report.
    :param client: HTTP client.
    :param host_list: address of the platform's host list.
    :param timeout: longest wait for the host list.
    :param get_router_count: returns the number of live routers.
    :param clock: source of time.
    :param random_state: source of jitter.
    """

    def __init__(
        self,
        table: BackendTable,
        get_config: Callable[[], FleetConfig],
        get_subset: Callable[[], Iterable[ServerId]],
        record_report: Callable[[ServerId, LoadReport], None],
        client: HttpClient,
        host_list: Address,
        timeout: timedelta,
        get_router_count: Callable[[], int],
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._table = table
        self._get_config = get_config
        self._get_subset = get_subset
        self._record_report = record_report
        self._client = client
        self._host_list = host_list
        self._timeout = timeout
        self._get_router_count = get_router_count
        self._clock = clock
        self._random_state = random_state
        self._polls_by_server: dict[ServerId, _Poll] = {}
        self._tasks: list[curio.Task] = []
        table.subscribe_refusals(self.poll_soon)

    async def start(self) -> None:
        """Start to poll."""
        for run in (self._run_loads, self._run_host_list):
            self._tasks.append(await curio.spawn(run, daemon=True))

    async def stop(self) -> None:
        """Stop polling."""
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()

    def poll_soon(self, server: ServerId) -> None:
        """Ask a server at the next opportunity."""
        poll = self._polls_by_server.get(server)
        if poll is not None:
            poll.next_at = self._clock.monotonic()

    async def poll_server(self, server: ServerId) -> bool:
        """Ask one server for its load.

        :returns: whether it gave a usable answer in time.
        """
        config = self._get_config().servers_by_id.get(server)
        if config is None:
            return False
        try:
            answer = await self._client.request(
                config.address, "GET", "/v1/load", timeout=_LOAD_TIMEOUT
            )
            if answer.status != _OK:
                raise ValueError(f"status {answer.status}")
            report = parse_load_report(answer.read_json())
        except (TransportError, ValueError) as error:
            log_event("load_poll_failed", level="debug", server=server, reason=error)
            self._table.note_poll_missed(server)
            return False
        self._table.note_load_report(server, report)
        self._record_report(server, report)
        return True

    async def poll_host_list(self) -> bool:
        """Read the host list once; after a failure the last states stay."""
        try:
            hosts = await read_host_list(self._client, self._host_list, self._timeout)
        except StoreUnavailableError as error:
            log_event("host_list_failed", level="debug", reason=error)
            return False
        self._table.note_host_list(hosts)
        return True

    async def _run_loads(self) -> None:
        while True:
            subset = list(self._get_subset())
            period = max(_LOAD_PERIOD, timedelta(seconds=1) * len(subset))
            period = max(_LOAD_PERIOD, period / _LOADS_PER_SECOND)
            now = self._clock.monotonic()
            for server in self._polls_by_server.keys() - subset:
                del self._polls_by_server[server]
            for server in subset:
                poll = self._polls_by_server.get(server)
                if poll is None:
                    first_at = now + period * self._random_state.random()
                    poll = self._polls_by_server[server] = _Poll(first_at)
                if now >= poll.next_at and not poll.is_running:
                    poll.is_running = True
                    await curio.spawn(self._run_poll, server, poll, period, daemon=True)
            await self._clock.sleep(_TICK)

    async def _run_poll(self, server: ServerId, poll: _Poll, period: timedelta) -> None:
        try:
            is_answered = await self.poll_server(server)
        finally:
            poll.is_running = False
        if is_answered:
            poll.delays = None
            delay = period * (0.75 + 0.5 * self._random_state.random())
        else:
            poll.delays = poll.delays or self._make_delays(period)
            delay = period / 2 + next(poll.delays)
        poll.next_at = self._clock.monotonic() + delay

    async def _run_host_list(self) -> None:
        delays: Iterator[timedelta] | None = None
        while True:
            share = timedelta(seconds=self._get_router_count() / _HOST_LISTS_PER_SECOND)
            period = max(_HOST_LIST_PERIOD, share)
            if await self.poll_host_list():
                delays = None
                delay = period * (0.75 + 0.5 * self._random_state.random())
            else:
                delays = delays or self._make_delays(period)
                delay = period / 2 + next(delays)
            await self._clock.sleep(delay)

    def _make_delays(self, first: timedelta) -> Iterator[timedelta]:
        limit = max(first, _LONGEST_DELAY)
        return jittered_delays(first, limit, self._random_state)


def parse_load_report(value: Any) -> LoadReport:
    """Check a server's load report.

    :raises ValueError: if it does not follow the backend contract.
    """
    try:
        state = BackendState[str(value["state"]).upper()]
        report = LoadReport(
            measured_at=_parse_time(value.get("measured_at")),
            running=int(value["running"]),
            queued=int(value["queued"]),
            state=state,
            model=str(value.get("model", "")),
            version=str(value.get("version", "")),
            role=str(value.get("role", "")),
        )
    except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
        raise ValueError(f"load report is not valid: {error!r}") from error
    if report.running < 0 or report.queued < 0:
        raise ValueError(
            f"load report has running {report.running} and queued {report.queued};"
            " accepted are 0 and above"
        )
    return report


def _parse_time(text: str | None) -> datetime | None:
    if text is None:
        return None
    time = datetime.fromisoformat(text)
    return time.astimezone(UTC) if time.tzinfo else time.replace(tzinfo=UTC)
