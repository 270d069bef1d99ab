"""The configuration, servers and routers of the fleet, as found in the store."""

from hibiscustiller.discovery._change_exchange import CHANGES_PATH, ChangeExchange
from hibiscustiller.discovery._change_log import ChangeBatch, ChangeLog
from hibiscustiller.discovery._currency import StateCurrency
from hibiscustiller.discovery._reach import StoreReach
from hibiscustiller.discovery._registration import Registration
from hibiscustiller.discovery._relay import StoreRelay, choose_followers
from hibiscustiller.discovery._snapshots import SnapshotExchange
from hibiscustiller.discovery._view import FleetView, Peer, ServerPresence
from hibiscustiller.discovery._watcher import FleetWatcher

__all__ = [
    "CHANGES_PATH",
    "ChangeBatch",
    "ChangeExchange",
    "ChangeLog",
    "FleetView",
    "FleetWatcher",
    "Peer",
    "Registration",
    "ServerPresence",
    "SnapshotExchange",
    "StateCurrency",
    "StoreReach",
    "StoreRelay",
    "choose_followers",
]
