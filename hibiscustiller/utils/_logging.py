"""Structured logging: one line of key=value pairs per event."""

import json
import logging as std_logging
from datetime import UTC, datetime, timedelta
from enum import Enum

from absl import logging

_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/,+@%#*[]"
)


def format_fields(fields: dict[str, object]) -> str:
    """Format fields as key=value pairs.

    Empty values and values with spaces, quotes or other special characters are written
    as JSON strings.

    :param fields: values by key, in output order.
    :returns: a single line without a line break.
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
    if text and _UNQUOTED_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)


class _EventFormatter(std_logging.Formatter):
    """Formatter that prefixes events with time and level.

    A record of a library becomes the message of an event named ``log``.
    """

    def format(self, record: std_logging.LogRecord) -> str:
        timestamp = datetime.fromtimestamp(record.created, UTC).isoformat(
            "T", "milliseconds"
        )
        message = record.getMessage()
        if not message.startswith("event="):
            message = format_fields({"event": "log", "message": message})
        line = f"time={timestamp} level={record.levelname.lower()} {message}"
        if record.exc_info:
            traceback = self.formatException(record.exc_info)
            line += " " + format_fields({"traceback": traceback})
        return line


def configure_logging(
    level: str = "info", handler: std_logging.Handler | None = None
) -> None:
    """Send all log records to one handler, as one key=value line per event.

    :param level: lowest level logged: ``debug``, ``info``, ``warning`` or ``error``.
    :param handler: output handler; None logs to standard error.
    """
    # absl's own handler warns about unparsed flags, and this program defines none.
    handler = handler or std_logging.StreamHandler()
    handler.setFormatter(_EventFormatter())
    # Libraries log to the root logger, so their lines get the same format.
    std_logging.getLogger().handlers = [handler]
    # curio warns when a read completes at the moment of its timeout. With the short
    # timeouts of streams this is frequent, and it is harmless.
    std_logging.getLogger("curio").setLevel(std_logging.ERROR)
    logger = logging.get_absl_logger()
    logger.handlers = []
    logger.propagate = True
    logging.set_verbosity(level)


def log_event(event: str, level: str = "info", **fields: object) -> None:
    """Log an event.

    :param event: name of the event, such as ``stream_recovered``.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param fields: values by key; they must not contain secrets.
    """
    level_number = logging.converter.string_to_standard(level)
    if logging.get_absl_logger().isEnabledFor(level_number):
        line = format_fields({"event": event, **fields})
        logging.get_absl_logger().log(level_number, "%s", line)
