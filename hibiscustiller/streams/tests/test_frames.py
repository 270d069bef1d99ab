"""Frame sequences that are reordered, repeated, stale, truncated or malformed."""

import json
import sys
from collections import deque
from datetime import timedelta

import curio
from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.exceptions import TransportError, WireFormatError
from hibiscustiller.limits import AdmissionRequest, Grant
from hibiscustiller.routing.tests.fixtures import make_route
from hibiscustiller.streams import (
    AttemptEnd,
    AttemptRunner,
    CrashRegistry,
    Progress,
    parse_frame,
)
from hibiscustiller.streams.tests.fixtures import make_request
from hibiscustiller.utils import ManualClock, Verdict
from hibiscustiller.utils._testing import breaks_invariant, collect_tests

ATTEMPT = 2
LENGTH = 4
ROUTE = make_route("s1", "s2")
LAYERS = [[s.server, s.first_layer, s.last_layer] for s in ROUTE.stages]


class _Stream:
    """An engine's answer from a list of lines; it breaks off at the end."""

    status = 200

    def __init__(self, lines):
        self._lines = deque(lines)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *args):
        pass

    async def read_line(self):
        if not self._lines:
            raise TransportError("broken", Verdict.MAY_HAVE_RUN)
        return self._lines.popleft()


class _Client:
    def __init__(self, lines):
        self.lines = lines
        self.cancels = 0

    async def open_stream(self, *args, **options):
        return _Stream(self.lines)

    async def request(self, address, method, *args, **options):
        self.cancels += method == "DELETE"


def _read(lines):
    """Run one attempt over lines; return its end, tokens and finish reason."""
    clock = ManualClock()
    registry = CrashRegistry(clock)
    second = timedelta(seconds=1)
    runner = AttemptRunner(_Client(lines), [], registry, clock, second)
    request = make_request("a", LENGTH)
    progress = Progress(clock.monotonic() + 60 * second, attempt=ATTEMPT)
    delivered = []

    async def deliver(token):
        delivered.append(token)

    async def run():
        admission = AdmissionRequest("r", "o", "c", "m", "a", 1)
        crash_run = registry.try_start("f", ROUTE.servers, 0)
        return await runner.run(
            request, Grant(admission, ROUTE), progress, crash_run, deliver
        )

    end = curio.run(run)
    assert delivered == progress.tokens
    assert not registry._runs_by_server
    return end, delivered, progress.finish_reason


def _encode(attempt, position, **changes):
    frame = {
        "attempt": attempt,
        "position": position,
        "token": f"t{position}" if attempt == ATTEMPT else "stale",
        "layers": LAYERS,
    }
    return json.dumps({**frame, **changes}).encode()


def _done(reason="length", attempt=ATTEMPT):
    return json.dumps({"attempt": attempt, "done": True, "reason": reason}).encode()


GOOD = [_encode(ATTEMPT, position) for position in range(LENGTH)]
JUNK = [
    b"",
    _encode(1, 0),
    _encode(1, 3),
    _done(attempt=1),
    json.dumps({"attempt": 1, "error": "stage-lost", "server": "s1"}).encode(),
]
FATAL = [
    b"{",
    b"[]",
    b"7",
    b"\xff\xfe",
    b"[" * 100_000,
    _encode(ATTEMPT, 0)[:-5],
    _encode(True, 0),
    _encode(3, 0),
    _encode(ATTEMPT, 9),
    _encode(ATTEMPT, 1.5),
    _encode(ATTEMPT, LENGTH, layers=[]),
    _done(attempt=3),
    json.dumps({"attempt": ATTEMPT, "error": "stage-lost", "server": ["s"]}).encode(),
    json.dumps({"attempt": ATTEMPT, "error": "x"}).encode(),
]


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    st.lists(st.sampled_from([*GOOD, *GOOD, *JUNK, *FATAL, _done()]), max_size=14),
)
@breaks_invariant("attempt_was_started", "positions_rise_by_one")
def test_caller_sees_a_prefix_and_done_means_whole(lines):
    """Guards against any frame sequence that loses, repeats or reorders a token."""
    end, delivered, _ = _read(lines)
    assert delivered == [f"t{position}" for position in range(len(delivered))]
    assert end in (AttemptEnd.DONE, AttemptEnd.FAILED)
    assert (end is AttemptEnd.DONE) <= (len(delivered) == LENGTH)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.data())
def test_repeats_and_stale_frames_do_not_harm(data):
    """Guards against a good answer that is refused for harmless extra frames."""
    lines = []
    for position, frame in enumerate(GOOD):
        earlier = st.sampled_from([*JUNK, *GOOD[:position]])
        lines += data.draw(st.lists(earlier, max_size=3))
        lines.append(frame)
    end, delivered, reason = _read([*lines, _done()])
    assert end is AttemptEnd.DONE and len(delivered) == LENGTH and reason == "length"


@breaks_invariant("attempt_was_started", "positions_rise_by_one")
def test_each_fatal_frame_ends_the_attempt():
    """Guards against a malformed frame that is passed over."""
    for line in FATAL:
        end, delivered, _ = _read([line, *GOOD, _done()])
        assert end is AttemptEnd.FAILED and delivered == [], line


def test_short_answer_counts_only_if_the_model_stopped():
    """Guards against a truncated answer that is taken for a whole one."""
    for reason, expected in (
        ("length", AttemptEnd.FAILED),
        ("stop", AttemptEnd.DONE),
    ):
        assert _read([*GOOD[:2], _done(reason)])[0] is expected


def test_unreadable_frames_raise_the_format_error():
    """Guards against errors that the runner does not expect of the parser."""
    for line in (b"{", b"[]", b"null", b'{"attempt":1}', b"\xff", b"[" * 100_000):
        try:
            parse_frame(line)
        except WireFormatError:
            continue
        raise AssertionError(f"accepted {line[:20]!r}")


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
