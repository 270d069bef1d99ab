"""Reading of values that other writers left in the platform's store."""

from __future__ import annotations

from math import isfinite
from typing import Any

from hibiscustiller.settings import Address, parse_address

# What reading a value of another shape, or one nested too deeply, raises.
UNREADABLE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    RecursionError,
    OverflowError,
)
# Messages between routers hold numbers of 64 bits.
_MAX_NUMBER = 2**63 - 1


def read_text(values: Any, name: str) -> str:
    """Return a text that is not empty.

    :raises ValueError: if the value is none.
    """
    value = values[name]
    if not isinstance(value, str) or not value or not _is_encodable(value):
        raise ValueError(f"{name} is no text")
    return value


def read_number(values: Any, name: str, default: int | None = None) -> int:
    """Return a whole number.

    :raises ValueError: if the value is none, or not in the accepted range.
    """
    value = values.get(name, default)
    if type(value) is not int or not 0 <= value <= _MAX_NUMBER:
        raise ValueError(f"{name} is no number from 0 to {_MAX_NUMBER}")
    return value


def read_positive(values: Any, name: str) -> float:
    """Return a finite number above zero.

    :raises ValueError: if the value is none.
    """
    value = float(values[name])
    if not isfinite(value) or value <= 0:
        raise ValueError(f"{name} is no number above 0")
    return value


def read_peer_address(values: Any, name: str = "address") -> Address:
    """Return an address at which a server or router receives.

    :raises ValueError: if the value is none that a connection can be opened to.
    """
    address = parse_address(read_text(values, name))
    if not address.port:
        raise ValueError(f"{name} has port 0")
    return address


def _is_encodable(text: str) -> bool:
    """Tell whether a text has no surrogates, which JSON may hold and UTF-8 may not."""
    return not any("\ud800" <= character <= "\udfff" for character in text)
