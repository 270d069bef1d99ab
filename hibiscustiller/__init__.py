"""Router for language-model pipelines over mixed accelerators."""

__version__ = "0.1.0"

__all__ = ["__version__"]
