"""Attempts over reordered, repeated, stale, truncated or malformed frames."""

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
    AttemptOutcome,
    AttemptRunner,
    CrashRegistry,
    Progress,
    parse_frame,
)
from hibiscustiller.streams.tests.fixtures import make_request
from hibiscustiller.utils import ManualClock, Verdict
from hibiscustiller.utils._testing import breaks_invariant, collect_tests

LATEST_ATTEMPT = 2
ANSWER_TOKENS = 4
ROUTE = make_route("s1", "s2")
LAYERS = [[s.server, s.first_layer, s.last_layer] for s in ROUTE.stages]


class _FakeStream:
    """Answer stream that returns a list of lines, then raises a connection error."""

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


class _FakeClient:
    def __init__(self, lines):
        self.lines = lines
        self.cancels = 0

    async def open_stream(self, *args, **options):
        return _FakeStream(self.lines)

    async def request(self, address, method, *args, **options):
        self.cancels += method == "DELETE"


def _run_attempt(lines):
    """Run one attempt over lines; return its outcome, tokens and finish reason."""
    clock = ManualClock()
    registry = CrashRegistry(clock)
    second = timedelta(seconds=1)
    runner = AttemptRunner(_FakeClient(lines), [], registry, clock, second)
    request = make_request("a", ANSWER_TOKENS)
    progress = Progress(clock.monotonic() + 60 * second, attempt=LATEST_ATTEMPT)
    delivered = []

    async def deliver(token):
        delivered.append(token)

    async def run():
        admission = AdmissionRequest("r", "o", "c", "m", "a", 1)
        tracked_attempt = registry.try_start("f", ROUTE.servers, 0)
        return await runner.run(
            request, Grant(admission, ROUTE), progress, tracked_attempt, deliver
        )

    outcome = curio.run(run)
    assert delivered == progress.tokens
    assert not registry._attempts_by_server
    return outcome, delivered, progress.finish_reason


def _encode_token(attempt, position, **changes):
    frame = {
        "attempt": attempt,
        "position": position,
        "token": f"t{position}" if attempt == LATEST_ATTEMPT else "stale",
        "layers": LAYERS,
    }
    return json.dumps({**frame, **changes}).encode()


def _encode_done(reason="length", attempt=LATEST_ATTEMPT):
    return json.dumps({"attempt": attempt, "done": True, "reason": reason}).encode()


VALID_FRAMES = [
    _encode_token(LATEST_ATTEMPT, position) for position in range(ANSWER_TOKENS)
]
IGNORED_LINES = [
    b"",
    _encode_token(1, 0),
    _encode_token(1, 3),
    _encode_done(attempt=1),
    json.dumps({"attempt": 1, "error": "stage-lost", "server": "s1"}).encode(),
]
FATAL_LINES = [
    b"{",
    b"[]",
    b"7",
    b"\xff\xfe",
    b"[" * 100_000,
    _encode_token(LATEST_ATTEMPT, 0)[:-5],
    _encode_token(True, 0),
    _encode_token(3, 0),
    _encode_token(LATEST_ATTEMPT, 9),
    _encode_token(LATEST_ATTEMPT, 1.5),
    _encode_token(LATEST_ATTEMPT, ANSWER_TOKENS, layers=[]),
    _encode_done(attempt=3),
    json.dumps(
        {"attempt": LATEST_ATTEMPT, "error": "stage-lost", "server": ["s"]}
    ).encode(),
    json.dumps({"attempt": LATEST_ATTEMPT, "error": "x"}).encode(),
]


@settings(derandomize=True, max_examples=400, deadline=None)
@given(
    st.lists(
        st.sampled_from(
            [*VALID_FRAMES, *VALID_FRAMES, *IGNORED_LINES, *FATAL_LINES, _encode_done()]
        ),
        max_size=14,
    ),
)
@breaks_invariant("attempt_was_started", "positions_rise_by_one")
def test_caller_gets_a_prefix_and_done_means_complete(lines):
    """Guards against frame sequences that lose, repeat or reorder a token."""
    outcome, delivered, _ = _run_attempt(lines)
    assert delivered == [f"t{position}" for position in range(len(delivered))]
    assert outcome in (AttemptOutcome.DONE, AttemptOutcome.FAILED)
    assert (outcome is AttemptOutcome.DONE) <= (len(delivered) == ANSWER_TOKENS)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.data())
def test_repeated_and_stale_frames_are_ignored(data):
    """Guards against a valid answer that fails because of stale or repeated frames."""
    lines = []
    for position, frame in enumerate(VALID_FRAMES):
        earlier = st.sampled_from([*IGNORED_LINES, *VALID_FRAMES[:position]])
        lines += data.draw(st.lists(earlier, max_size=3))
        lines.append(frame)
    outcome, delivered, reason = _run_attempt([*lines, _encode_done()])
    assert (
        outcome is AttemptOutcome.DONE
        and len(delivered) == ANSWER_TOKENS
        and reason == "length"
    )


@breaks_invariant("attempt_was_started", "positions_rise_by_one")
def test_each_fatal_frame_ends_the_attempt():
    """Guards against an invalid frame that is ignored and does not end the attempt."""
    for line in FATAL_LINES:
        outcome, delivered, _ = _run_attempt([line, *VALID_FRAMES, _encode_done()])
        assert outcome is AttemptOutcome.FAILED and delivered == [], line


def test_short_answer_counts_only_if_the_model_stopped():
    """Guards against a truncated answer that counts as complete."""
    for reason, expected in (
        ("length", AttemptOutcome.FAILED),
        ("stop", AttemptOutcome.DONE),
    ):
        assert _run_attempt([*VALID_FRAMES[:2], _encode_done(reason)])[0] is expected


def test_unreadable_frames_raise_the_format_error():
    """Guards against parser errors of a class that the runner does not handle."""
    for line in (b"{", b"[]", b"null", b'{"attempt":1}', b"\xff", b"[" * 100_000):
        try:
            parse_frame(line)
        except WireFormatError:
            continue
        raise AssertionError(f"accepted {line[:20]!r}")


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
