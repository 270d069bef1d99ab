"""Shared utilities: identifiers, clocks, verdicts, hashing, logging and metrics."""

from hibiscustiller.utils._backoff import BackedOff, jittered_delays
from hibiscustiller.utils._bounded_logs import BoundedHandler
from hibiscustiller.utils._clock import Clock, ManualClock, SystemClock
from hibiscustiller.utils._hashing import (
    HashRing,
    compute_fingerprint,
    hash_secret,
    rank_by_rendezvous,
)
from hibiscustiller.utils._ids import (
    ClassName,
    CrashId,
    DomainId,
    Fence,
    Fingerprint,
    ModelName,
    OrganisationId,
    PartId,
    RegionId,
    RequestId,
    Revision,
    RouterId,
    ServerId,
    ServiceName,
    TeamId,
)
from hibiscustiller.utils._invariants import check_invariant, violations_by_name
from hibiscustiller.utils._logging import configure_logging, format_fields, log_event
from hibiscustiller.utils._metrics import Metrics, make_metrics
from hibiscustiller.utils._signals import SignalReceiver
from hibiscustiller.utils._verdicts import Refusal, RefusalReason, Verdict

__all__ = [
    "BackedOff",
    "BoundedHandler",
    "ClassName",
    "Clock",
    "CrashId",
    "DomainId",
    "Fence",
    "Fingerprint",
    "HashRing",
    "ManualClock",
    "Metrics",
    "ModelName",
    "OrganisationId",
    "PartId",
    "Refusal",
    "RefusalReason",
    "RegionId",
    "RequestId",
    "Revision",
    "RouterId",
    "ServerId",
    "ServiceName",
    "SignalReceiver",
    "SystemClock",
    "TeamId",
    "Verdict",
    "check_invariant",
    "configure_logging",
    "format_fields",
    "compute_fingerprint",
    "hash_secret",
    "jittered_delays",
    "log_event",
    "make_metrics",
    "rank_by_rendezvous",
    "violations_by_name",
]
