"""The daemon on the platform: from a caller's request to its answer."""

from hibiscustiller.ingress._gateway import Gateway

__all__ = ["Gateway"]
