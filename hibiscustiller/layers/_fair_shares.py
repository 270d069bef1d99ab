"""Fair shares of the places of a class between organisations.

Handles the burst of one organisation: its requests wait behind those of organisations
that hold less, once places are scarce. The module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Collection

from hibiscustiller.utils import OrganisationId

# Shares are enforced while less than this part of the capacity is free. Above it,
# nobody waits for long.
SCARCE_SHARE = 0.25


class HeldTokens:
    """Tokens of the places that each class and organisation holds."""

    def __init__(self) -> None:
        # Number of places and their tokens, by class and organisation. The number
        # tells exactly when none is left.
        self._by_priority: dict[int, dict[OrganisationId, tuple[int, float]]] = {}
        self._totals_by_priority: dict[int, float] = {}

    @property
    def priorities(self) -> list[int]:
        """Classes that hold places, the most urgent one first."""
        return sorted(self._by_priority)

    @property
    def total(self) -> float:
        """Tokens that all classes hold."""
        return sum(self._totals_by_priority.values())

    def get(self, priority: int) -> float:
        """Return the tokens that a class holds."""
        return self._totals_by_priority.get(priority, 0.0)

    def count_organisations(self, priority: int) -> int:
        """Return the number of organisations that hold places of a class."""
        return len(self._by_priority.get(priority, {}))

    def add(self, priority: int, organisation: OrganisationId, tokens: float) -> None:
        """Add a place that is taken."""
        by_organisation = self._by_priority.setdefault(priority, {})
        count, held = by_organisation.get(organisation, (0, 0.0))
        by_organisation[organisation] = (count + 1, held + tokens)
        self._totals_by_priority[priority] = self.get(priority) + tokens

    def remove(
        self, priority: int, organisation: OrganisationId, tokens: float
    ) -> None:
        """Remove a place that was added; one that was not is ignored."""
        by_organisation = self._by_priority.get(priority, {})
        if organisation not in by_organisation:
            return
        count, held = by_organisation[organisation]
        if count > 1:
            by_organisation[organisation] = (count - 1, held - tokens)
        else:
            del by_organisation[organisation]
        if by_organisation:
            self._totals_by_priority[priority] -= tokens
        else:
            del self._by_priority[priority], self._totals_by_priority[priority]

    def find_over_share(
        self, priority: int, asking: Collection[OrganisationId]
    ) -> set[OrganisationId]:
        """Return the asking organisations that hold more than their share of a class.

        A share is an equal part of the tokens held, among the organisations that hold
        or ask.
        """
        by_organisation = self._by_priority.get(priority, {})
        count = len(by_organisation.keys() | asking)
        if count < 2:
            return set()
        share = self.get(priority) / count
        return {
            organisation
            for organisation in asking
            if by_organisation.get(organisation, (0, 0.0))[1] > share
        }
