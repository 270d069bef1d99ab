"""Router daemon that forwards callers' requests to backend servers on the platform."""

from hibiscustiller.ingress._gateway import Gateway

__all__ = ["Gateway"]
