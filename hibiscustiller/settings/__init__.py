"""Settings of a daemon, read from INI and checked against the schema."""

from hibiscustiller.settings._generated import (
    LimitsSettings,
    ListenSettings,
    MetricsSettings,
    PeersSettings,
    PlatformSettings,
    RouterSettings,
)
from hibiscustiller.settings._loading import (
    Settings,
    load_settings,
    make_ini_parser,
    parse_settings,
)
from hibiscustiller.settings._specification import (
    Address,
    KeySpec,
    SectionSpec,
    parse_address,
    parse_duration,
    parse_section,
)

__all__ = [
    "Address",
    "KeySpec",
    "LimitsSettings",
    "ListenSettings",
    "MetricsSettings",
    "PeersSettings",
    "PlatformSettings",
    "RouterSettings",
    "SectionSpec",
    "Settings",
    "load_settings",
    "make_ini_parser",
    "parse_address",
    "parse_duration",
    "parse_section",
    "parse_settings",
]
