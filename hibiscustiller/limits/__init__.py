"""Admission control, fair sharing, server concurrency limits and retry budgets."""

from hibiscustiller.limits._admission import (
    AdmissionController,
    AdmissionRequest,
    Grant,
    PlanRoute,
)
from hibiscustiller.limits._rates import RateAllocator
from hibiscustiller.limits._retries import RetryBudget
from hibiscustiller.limits._servers import ServerLimits
from hibiscustiller.limits._usage import UsageAggregator, UsageLedger

__all__ = [
    "AdmissionController",
    "AdmissionRequest",
    "Grant",
    "PlanRoute",
    "RateAllocator",
    "RetryBudget",
    "ServerLimits",
    "UsageAggregator",
    "UsageLedger",
]
