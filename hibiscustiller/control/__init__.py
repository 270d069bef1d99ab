"""Control of the engines by one router at a time."""

from hibiscustiller.control._commands import (
    EngineState,
    LoadCommand,
    RoleCommand,
    list_commands,
    parse_engine_state,
    prioritise_loads,
)
from hibiscustiller.control._holder import ControlHolder
from hibiscustiller.leadership import ControlLease, Term

__all__ = [
    "ControlHolder",
    "ControlLease",
    "EngineState",
    "LoadCommand",
    "RoleCommand",
    "Term",
    "list_commands",
    "prioritise_loads",
    "parse_engine_state",
]
