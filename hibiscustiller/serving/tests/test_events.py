"""Events of a streamed answer."""

import json
import sys

from hibiscustiller.serving._callers import make_part_formatter
from hibiscustiller.streams import StreamRequest
from hibiscustiller.utils._testing import collect_tests

_TEXTS = ["turf", " chalk", "", '""', '"quoted" \\ \n', "Grün", "\ud800", "x" * 5000]


def test_events_carry_their_text_and_the_fields_of_the_stream():
    """Guards against a text or name that breaks the encoding prepared for a stream."""
    for model in ("turf-70b", 'odd "'):
        stream = StreamRequest("id-1", "greens", "quotes", 1, model, "a prompt", 5)
        format_part = make_part_formatter(stream)
        for text in _TEXTS:
            event = format_part(text)
            assert event.startswith(b"data: ") and event.endswith(b"\n\n"), event
            assert event.count(b"\n") == 2, event
            choice = {"index": 0, "text": text, "finish_reason": None}
            assert json.loads(event.removeprefix(b"data: ")) == {
                "id": "id-1",
                "object": "text_completion",
                "model": model,
                "choices": [choice],
            }, event


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
