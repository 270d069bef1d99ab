"""The router daemon and the interface it offers to callers."""

from hibiscustiller.serving._administration import AdministrationApi
from hibiscustiller.serving._callers import CallerApi
from hibiscustiller.serving._router import Router, make_http_limits

__all__ = ["AdministrationApi", "CallerApi", "Router", "make_http_limits"]
