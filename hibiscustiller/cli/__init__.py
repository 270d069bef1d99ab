"""The click program ``hibiscustiller``."""

from hibiscustiller.cli._commands import main

__all__ = ["main"]
