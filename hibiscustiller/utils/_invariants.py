"""Invariant checks, enabled in tests and in production."""

from collections import Counter

from hibiscustiller.exceptions import InvariantError
from hibiscustiller.utils._logging import log_event

# Number of violations by invariant, shown in the operators' report. Any count above
# zero indicates a fault in the router.
violations_by_name: Counter[str] = Counter()


def check_invariant(condition: bool, name: str, **fields: object) -> None:
    """Count, log and raise an error if an invariant is violated.

    :param condition: whether the invariant holds.
    :param name: name of the invariant in the log and the report.
    :param fields: values that help to find the cause, by log field.
    :raises InvariantError: if ``condition`` is false.
    """
    if condition:
        return
    violations_by_name[name] += 1
    log_event("invariant_violated", level="error", invariant=name, **fields)
    raise InvariantError(f"invariant {name} violated: {fields}")
