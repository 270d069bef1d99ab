"""Limits on what runs: admission, fairness, capacity and retries."""

from hibiscustiller.limits._admission import (
    AdmissionController,
    AdmissionRequest,
    Grant,
    PlanRoute,
)

__all__ = ["AdmissionController", "AdmissionRequest", "Grant", "PlanRoute"]
