"""The configuration in force at this router."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping

from hibiscustiller.configuration._document import (
    FleetConfig,
    Sections,
    TypedSection,
    assemble_config,
    format_sections,
    parse_headings,
)
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
        self.digest = ""
        self._typed_by_heading: Mapping[str, TypedSection] = parse_headings(
            sections, {}
        )
        self.config = assemble_config(self._typed_by_heading)
        self._listeners: list[Listener] = []

    def get_config(self) -> FleetConfig:
        """Return the document in force."""
        return self.config

    def get_typed_sections(self) -> Mapping[str, TypedSection]:
        """Return the typed sections in force, by heading."""
        return self._typed_by_heading

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def install(
        self, sections: Sections, revision: Revision, digest: str | None = None
    ) -> None:
        """Put a newer document in force.

        :param digest: digest of its history; by default that of its content.
        :raises SettingsError: if the document is not valid; nothing changes.
        :raises InvariantError: if the revision does not rise.
        """
        check_invariant(
            revision > self.revision,
            "configuration_revision_rises",
            held=self.revision,
            offered=revision,
        )
        typed = parse_headings(sections, self._typed_by_heading)
        if digest is None:
            text = format_sections(sections).encode()
            digest = hashlib.sha256(text).hexdigest()[:32]
        self.config = assemble_config(typed)
        self._typed_by_heading = typed
        self.sections = sections
        self.revision = revision
        self.digest = digest
        log_event("configuration_in_force", revision=revision)
        for listener in self._listeners:
            listener(self.config)
