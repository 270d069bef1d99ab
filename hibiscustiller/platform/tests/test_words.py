"""The platform's names stay in the adapter and in the stand-ins that speak to it."""

import sys
from pathlib import Path

import hibiscustiller
from hibiscustiller.utils._testing import collect_tests

ROOT = Path(hibiscustiller.__file__).parent
# Names that mean nothing outside the platform's protocol.
WORDS = (
    "hop-count",
    "response-seal",
    "token-usage",
    "prompt-prefix",
    "expect-instance",
    "not-executed",
    "at-server",
    "deadline-ms",
    "request-priority",
    "length-hint",
    "weight-versions",
    "kv-txn",
    "kv-watch",
    "kv-range",
    "kv-lease",
    "op/config",
    "traffic_split",
    "target_gap_ms",
    "drain_mode",
    "token_kv_bytes",
    "cold_remaining_ms",
    "node_name",
    "HIBISCUSTILLER_NODE_FILE",
)
ALLOWED = ("platform", "standins")


def test_platform_words_stay_in_the_adapter():
    """Guards against decisions that depend on the names of one platform."""
    found = []
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT).parts
        if parts[0] in ALLOWED or "tests" in parts:
            continue
        text = path.read_text().lower()
        found += [f"{path}: {word}" for word in WORDS if word.lower() in text]
    assert found == []


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
