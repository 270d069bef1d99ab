"""The platform's services: key-value store and list of hosts."""

from hibiscustiller.platform._errors import (
    LeaseExpiredError,
    StoreRefusedError,
    StoreRolledBackError,
    ValueTooLargeError,
)
from hibiscustiller.platform._hosts import HostList, HostState, read_host_list
from hibiscustiller.platform._store import (
    NO_LEASE,
    Entry,
    EtcdStore,
    KeyValueStore,
    LeaseId,
    SwapOutcome,
    Watch,
)

__all__ = [
    "NO_LEASE",
    "Entry",
    "EtcdStore",
    "HostList",
    "HostState",
    "KeyValueStore",
    "LeaseExpiredError",
    "LeaseId",
    "StoreRefusedError",
    "StoreRolledBackError",
    "SwapOutcome",
    "ValueTooLargeError",
    "Watch",
    "read_host_list",
]
