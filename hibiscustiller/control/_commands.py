"""What the engines must be told so that they follow the document."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from hibiscustiller.configuration import FleetConfig, ModelConfig, ServerConfig
from hibiscustiller.utils import Fence, ModelName, ServerId


@dataclass(frozen=True)
class EngineState:
    """What an engine holds, from ``GET /v1/state``."""

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    highest_fence: int


@dataclass(frozen=True)
class LoadCommand:
    """Load a version of a model with its adapters."""

    model: ModelName
    version: str
    adapters: tuple[str, ...]

    def build_body(self, fence: Fence) -> dict[str, Any]:
        """Return the command's JSON."""
        return {
            "fence": fence,
            "action": "load",
            "model": self.model,
            "version": self.version,
            "adapters": list(self.adapters),
        }


@dataclass(frozen=True)
class RoleCommand:
    """Change the work that an engine is set up for."""

    role: str

    def build_body(self, fence: Fence) -> dict[str, Any]:
        """Return the command's JSON."""
        return {"fence": fence, "action": "role", "role": self.role}


Command = LoadCommand | RoleCommand


def parse_engine_state(value: Any) -> EngineState:
    """Check an engine's answer.

    :raises ValueError: if it does not follow the backend contract.
    """
    try:
        return EngineState(
            model=str(value["model"]),
            version=str(value["version"]),
            adapters=tuple(str(adapter) for adapter in value["adapters"]),
            role=str(value["role"]),
            highest_fence=int(value["highest_fence"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"engine state is not valid: {error!r}") from error


def holds_model(state: EngineState, model: ModelConfig) -> bool:
    """Tell whether an engine holds a model as the document says."""
    return (
        state.model == model.name
        and state.version == model.version
        and set(state.adapters) == set(model.adapters)
    )


def list_commands(
    config: FleetConfig, server: ServerConfig, state: EngineState
) -> list[Command]:
    """Return the commands that bring an engine in line with the document.

    A draining server is about to be taken away and gets none.
    """
    model = config.models_by_name.get(server.model)
    if model is None or server.state != "serving":
        return []
    commands: list[Command] = []
    if not holds_model(state, model):
        commands.append(LoadCommand(model.name, model.version, model.adapters))
    if state.role != server.role:
        commands.append(RoleCommand(server.role))
    return commands


def prioritise_loads(
    config: FleetConfig,
    states_by_server: Mapping[ServerId, EngineState],
    servers: Iterable[ServerId],
) -> list[ServerId]:
    """Order servers that wait for a load, the least ready cover first.

    A model's cover is the number of ready servers at its least covered layer. Among
    servers of one model, the one that holds the least covered layer goes first. Each
    server counts as ready for the choice of those after it.
    """
    counts_by_model = _count_ready_layers(config, states_by_server)
    waiting = sorted(servers)
    ordered: list[ServerId] = []

    def rank(name: ServerId) -> tuple[int, int, ServerId]:
        server = config.servers_by_id[name]
        counts = counts_by_model[server.model]
        own = counts[server.first_layer : server.last_layer]
        return (min(counts), min(own, default=0), name)

    while waiting:
        chosen = min(waiting, key=rank)
        waiting.remove(chosen)
        ordered.append(chosen)
        server = config.servers_by_id[chosen]
        _count_server(counts_by_model[server.model], server)
    return ordered


def _count_ready_layers(
    config: FleetConfig, states_by_server: Mapping[ServerId, EngineState]
) -> dict[ModelName, list[int]]:
    counts_by_model = {
        name: [0] * model.layers for name, model in config.models_by_name.items()
    }
    for name, state in states_by_server.items():
        server = config.servers_by_id.get(name)
        model = server and config.models_by_name.get(server.model)
        if model and server.state == "serving" and holds_model(state, model):
            _count_server(counts_by_model[model.name], server)
    return counts_by_model


def _count_server(counts: list[int], server: ServerConfig) -> None:
    for layer in range(server.first_layer, min(server.last_layer, len(counts))):
        counts[layer] += 1
