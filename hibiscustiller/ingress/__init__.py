"""Router daemon that forwards callers' requests to backend servers on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hibiscustiller.ingress._gateway import Gateway

__all__ = ["Gateway"]


def __getattr__(name: str) -> Any:
    """Import the gateway when it is first used.

    The daemon handles signals before it imports it, which takes long.
    """
    if name != "Gateway":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from hibiscustiller.ingress._gateway import Gateway

    return Gateway
