"""Client of the platform's list of hosts."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from hibiscustiller.exceptions import StoreUnavailableError, TransportError
from hibiscustiller.settings import Address
from hibiscustiller.utils import Verdict
from hibiscustiller.wire import HttpClient

_OK = 200


class HostState(Enum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class HostList:
    """The platform's list; it lags.

    :param states_by_host: states by the host's IP number.
    """

    states_by_host: dict[str, HostState]


async def read_host_list(
    client: HttpClient, address: Address, timeout: timedelta
) -> HostList:
    """Read the list of live and leaving hosts.

    :raises StoreUnavailableError: if there is no usable answer.
    """
    try:
        answer = await client.request(address, "GET", "/v1/hosts", timeout=timeout)
        if answer.status != _OK:
            raise ValueError(f"the answer has status {answer.status}")
        hosts = answer.read_json()["hosts"]
        states = {host["address"]: HostState(host["state"]) for host in hosts}
    except (TransportError, ValueError, KeyError, TypeError, RecursionError) as error:
        raise StoreUnavailableError(
            f"no usable host list: {error}", Verdict.NOT_RUN
        ) from error
    return HostList(states)
