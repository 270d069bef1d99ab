"""Commands that bring the engines in line with the configuration document."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from hibiscustiller.configuration import FleetConfig, ModelConfig, ServerConfig
from hibiscustiller.utils import Fence, ModelName, ServerId


@dataclass(frozen=True)
class EngineState:
    """State of an engine as reported by ``GET /v1/state``.

    :param model: name of the loaded model.
    :param version: version of the loaded model.
    :param adapters: names of the loaded adapters.
    :param role: kind of work that the engine is configured for.
    :param highest_fence: highest fencing token that the engine has received.
    """

    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    highest_fence: int


@dataclass(frozen=True)
class LoadCommand:
    """Command to load a version of a model with its adapters."""

    model: ModelName
    version: str
    adapters: tuple[str, ...]

    def build_body(self, fence: Fence) -> dict[str, Any]:
        """Return the JSON body of the request to the engine.

        :param fence: fencing token of the current term.
        """
        return {
            "fence": fence,
            "action": "load",
            "model": self.model,
            "version": self.version,
            "adapters": list(self.adapters),
        }


@dataclass(frozen=True)
class RoleCommand:
    """Command to change the kind of work that an engine is configured for."""

    role: str

    def build_body(self, fence: Fence) -> dict[str, Any]:
        """Return the JSON body of the request to the engine.

        :param fence: fencing token of the current term.
        """
        return {"fence": fence, "action": "role", "role": self.role}


Command = LoadCommand | RoleCommand


def parse_engine_state(value: Any) -> EngineState:
    """Parse an engine's response to ``GET /v1/state``.

    :param value: decoded JSON of the response.
    :raises ValueError: if the response does not follow the backend contract.
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
        raise ValueError(f"invalid engine state: {error!r}") from error


def holds_model(state: EngineState, model: ModelConfig) -> bool:
    """Return whether an engine has loaded a model as the document specifies it."""
    return (
        state.model == model.name
        and state.version == model.version
        and set(state.adapters) == set(model.adapters)
    )


def list_commands(
    config: FleetConfig, server: ServerConfig, state: EngineState
) -> list[Command]:
    """Return the commands that bring an engine in line with the document.

    A draining server is about to be removed and gets no commands.
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
    """Sort the servers that need a load, those of the model with least coverage first.

    The coverage of a layer is the number of ready servers that hold it; the coverage of
    a model is that of its least covered layer. Among the servers of one model, the one
    that holds the least covered layer comes first. Each sorted server counts as ready
    when the next one is selected.

    :param config: configuration document in force.
    :param states_by_server: last known engine states.
    :param servers: servers that need a load.
    """
    counts_by_model = _count_ready_servers(config, states_by_server)
    waiting = sorted(servers)
    sorted_servers: list[ServerId] = []

    def rank(name: ServerId) -> tuple[int, int, ServerId]:
        server = config.servers_by_id[name]
        counts_by_layer = counts_by_model[server.model]
        own_counts = counts_by_layer[server.first_layer : server.last_layer]
        return (min(counts_by_layer), min(own_counts, default=0), name)

    while waiting:
        selected = min(waiting, key=rank)
        waiting.remove(selected)
        sorted_servers.append(selected)
        server = config.servers_by_id[selected]
        _add_server_layers(counts_by_model[server.model], server)
    return sorted_servers


def _count_ready_servers(
    config: FleetConfig, states_by_server: Mapping[ServerId, EngineState]
) -> dict[ModelName, list[int]]:
    """Return the number of ready servers for each layer of each model."""
    counts_by_model = {
        name: [0] * model.layers for name, model in config.models_by_name.items()
    }
    for name, state in states_by_server.items():
        server = config.servers_by_id.get(name)
        model = server and config.models_by_name.get(server.model)
        if model and server.state == "serving" and holds_model(state, model):
            _add_server_layers(counts_by_model[model.name], server)
    return counts_by_model


def _add_server_layers(counts_by_layer: list[int], server: ServerConfig) -> None:
    for layer in range(
        server.first_layer, min(server.last_layer, len(counts_by_layer))
    ):
        counts_by_layer[layer] += 1
