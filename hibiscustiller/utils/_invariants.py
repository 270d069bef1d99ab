"""Invariants, checked in tests and in production alike."""

from collections import Counter

from hibiscustiller.exceptions import InvariantError
from hibiscustiller.utils._logging import log_event

# Read by the operators' report; a count above zero is a fault in the router.
violations_by_name: Counter[str] = Counter()


def check_invariant(condition: bool, name: str, **fields: object) -> None:
    """Raise if a property that must always hold does not.

    :param condition: whether the property holds.
    :param name: the property's name, for the log and the report.
    :param fields: what is needed to find the cause.
    :raises InvariantError: if ``condition`` is false.
    """
    if condition:
        return
    violations_by_name[name] += 1
    log_event("invariant_violated", level="error", invariant=name, **fields)
    raise InvariantError(f"invariant {name} violated: {fields}")
