"""How current the state is by which a router judges a request.

This module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class StateCurrency:
    """What a router knows of the age of its configuration.

    :param version: version of the configuration in force; 0 if there is none.
    :param named_version: the newest version that another router has named.
    :param age: time since the state was last known to be that of the store; None if
        it never was.
    :param max_age: age beyond which the state may lack changes that must be in force.
    """

    version: int
    named_version: int
    age: timedelta | None
    max_age: timedelta

    @property
    def is_behind(self) -> bool:
        """Whether a newer configuration is known to exist."""
        return self.named_version > self.version

    @property
    def is_current(self) -> bool:
        """Whether the configuration in force is known to be the newest one."""
        return self.is_confirmed and not self.is_behind

    @property
    def is_confirmed(self) -> bool:
        """Whether all changes that must be in force are."""
        return self.age is not None and self.age <= self.max_age
