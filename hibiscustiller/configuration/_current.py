"""The configuration in force at this router."""

from __future__ import annotations

from collections.abc import Callable

from hibiscustiller.configuration._document import FleetConfig, Sections, build_config
from hibiscustiller.utils import Revision, check_invariant, log_event

Listener = Callable[[FleetConfig], None]


class CurrentConfiguration:
    """Holds the newest document that this router knows.

    :param sections: the first document.
    :param revision: its revision; 0 for the empty document before any was accepted.
    """

    def __init__(self, sections: Sections, revision: Revision) -> None:
        self.sections = sections
        self.revision = revision
        self.config = build_config(sections)
        self._listeners: list[Listener] = []

    def get_config(self) -> FleetConfig:
        """Return the document in force."""
        return self.config

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def install(self, sections: Sections, revision: Revision) -> None:
        """Put a newer document in force.

        :raises SettingsError: if the document is not valid; nothing changes.
        :raises InvariantError: if the revision does not rise.
        """
        check_invariant(
            revision > self.revision,
            "configuration_revision_rises",
            held=self.revision,
            offered=revision,
        )
        self.config = build_config(sections)
        self.sections = sections
        self.revision = revision
        log_event("configuration_in_force", revision=revision)
        for listener in self._listeners:
            listener(self.config)
