"""The operators' document and the configuration in force."""

from hibiscustiller.configuration._audit import (
    AuditEntry,
    AuditTrail,
    describe_entry,
    redact_difference,
)
from hibiscustiller.configuration._changes import (
    Difference,
    apply_difference,
    compute_difference,
)
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
from hibiscustiller.configuration._proposals import (
    Acceptance,
    Proposal,
    ProposalRefusal,
    ProposalService,
)
from hibiscustiller.configuration._sync import ConfigurationSync, SyncOptions
from hibiscustiller.configuration._validation import (
    MAX_DOCUMENT_BYTES,
    check_difference,
    check_document,
    owns_section,
)

__all__ = [
    "Acceptance",
    "AuditEntry",
    "AuditTrail",
    "ClassConfig",
    "ConfigurationSync",
    "CurrentConfiguration",
    "Difference",
    "FleetConfig",
    "LinkConfig",
    "MAX_DOCUMENT_BYTES",
    "ModelConfig",
    "OrganisationConfig",
    "Proposal",
    "ProposalRefusal",
    "ProposalService",
    "Sections",
    "ServerConfig",
    "ServiceConfig",
    "SyncOptions",
    "TeamConfig",
    "apply_difference",
    "build_config",
    "check_difference",
    "check_document",
    "compute_difference",
    "describe_entry",
    "format_sections",
    "owns_section",
    "parse_document",
    "parse_sections",
    "redact_difference",
]
