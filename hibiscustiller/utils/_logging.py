"""Structured logs: one line of key=value pairs for each event."""

import json
import logging as std_logging
from datetime import UTC, datetime, timedelta
from enum import Enum

from absl import logging

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/,+@%#*[]"
)


def format_fields(fields: dict[str, object]) -> str:
    """Format fields as key=value pairs; values with spaces or quotes are quoted.

    :param fields: values by key, in output order.
    :returns: one line without a line break.
    """
    return " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())


def _format_value(value: object) -> str:
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, timedelta):
        return f"{value.total_seconds():.6g}s"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text)


class _EventFormatter(std_logging.Formatter):
    """Prefixes an event with its time and level."""

    def format(self, record: std_logging.LogRecord) -> str:
        time = datetime.fromtimestamp(record.created, UTC).isoformat(
            "T", "milliseconds"
        )
        message = record.getMessage()
        if not message.startswith("event="):
            message = format_fields({"event": "log", "message": message})
        line = f"time={time} level={record.levelname.lower()} {message}"
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            line += " " + format_fields({"traceback": trace})
        return line


def configure_logging(
    level: str = "info", handler: std_logging.Handler | None = None
) -> None:
    """Send logs to a handler, one key=value line an event.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param handler: writes to standard error by default.
    """
    # absl's own handler warns about flags that were not parsed; this program has none.
    handler = handler or std_logging.StreamHandler()
    handler.setFormatter(_EventFormatter())
    # Libraries log to the root logger; their lines get the same format.
    std_logging.getLogger().handlers = [handler]
    # curio warns of each read that ends in the moment of its timeout, which is frequent
    # and harmless with the short waits of streams.
    std_logging.getLogger("curio").setLevel(std_logging.ERROR)
    logger = logging.get_absl_logger()
    logger.handlers = []
    logger.propagate = True
    logging.set_verbosity(level)


def log_event(event: str, level: str = "info", **fields: object) -> None:
    """Log one event.

    :param event: the event's name, such as ``stream_recovered``.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param fields: values by key. Secrets must not be passed.
    """
    number = logging.converter.string_to_standard(level)
    if logging.get_absl_logger().isEnabledFor(number):
        line = format_fields({"event": event, **fields})
        logging.get_absl_logger().log(number, "%s", line)
