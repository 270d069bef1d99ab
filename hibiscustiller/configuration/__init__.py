"""The operators' document and the configuration in force."""

from hibiscustiller.configuration._current import CurrentConfiguration
from hibiscustiller.configuration._document import (
    FleetConfig,
    Sections,
    build_config,
    format_sections,
    parse_document,
    parse_sections,
)
from hibiscustiller.configuration._generated import (
    ClassConfig,
    LinkConfig,
    ModelConfig,
    OrganisationConfig,
    ServerConfig,
    ServiceConfig,
    TeamConfig,
)

__all__ = [
    "ClassConfig",
    "CurrentConfiguration",
    "FleetConfig",
    "LinkConfig",
    "ModelConfig",
    "OrganisationConfig",
    "Sections",
    "ServerConfig",
    "ServiceConfig",
    "TeamConfig",
    "build_config",
    "format_sections",
    "parse_document",
    "parse_sections",
]
