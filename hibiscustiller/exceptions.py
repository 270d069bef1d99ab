"""Exceptions shared by the whole package.

Expected refusals travel as :class:`hibiscustiller.utils.Refusal` values; the classes
here stand for broken invariants, bad settings and failed I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscustiller.utils import Verdict

__all__ = [
    "InvariantError",
    "SettingsError",
    "StoreUnavailableError",
    "TransportError",
    "WireFormatError",
]


class InvariantError(AssertionError):
    """A property that must always hold was found broken."""


class SettingsError(ValueError):
    """Settings or a document section failed validation.

    :param problems: one line for each problem, naming section, key, value and range.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class TransportError(OSError):
    """An exchange with another process failed.

    :param message: what failed.
    :param verdict: whether the other side may have acted on the request.
    """

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class StoreUnavailableError(OSError):
    """The key-value service gave no usable answer.

    :param message: what failed.
    :param verdict: whether a write may have taken effect.
    """

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class WireFormatError(ValueError):
    """Bytes from another process do not follow the agreed format."""
