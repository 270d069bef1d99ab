"""Settings files: what is accepted and how problems are reported."""

import sys
from datetime import timedelta

from hibiscustiller.exceptions import SettingsError
from hibiscustiller.settings import Address, parse_settings
from hibiscustiller.utils._testing import collect_tests

VALID = """
[router]
id = r1
failure_domain = d1
[listen]
callers = 127.0.0.1:8080
administration = 127.0.0.1:8081
peers = [::1]:8082
[platform]
store = 127.0.0.1:7100
host_list = 127.0.0.1:7100
"""


def find_problems(text):
    try:
        parse_settings(text, "file.ini")
    except SettingsError as error:
        return error.problems
    return ()


def test_valid_settings_are_typed():
    """Guards against values that reach the daemon as text."""
    settings = parse_settings(VALID, "file.ini")
    assert settings.listen.peers == Address("::1", 8082)
    assert settings.platform.timeout == timedelta(seconds=2)
    assert settings.metrics.statsd is None
    assert settings.peers.seeds == ()


def test_problems_name_section_key_value_and_range():
    """Guards against errors that leave the operator guessing."""
    cases = [
        (
            "callers = 127.0.0.1:8080",
            "callers = host:1",
            "[listen] key callers: value 'host:1'",
        ),
        ("callers = 127.0.0.1:8080", "", "[listen] key callers: required"),
        ("id = r1", "id = r1\ncolour = red", "[router] key colour: unknown"),
        (
            "[platform]",
            "[limits]\nmax_body_bytes = 5\n[platform]",
            "accepted range is 1024",
        ),
        (
            "[platform]",
            "[limits]\nmax_body_bytes = 67108864\nmax_bodies_bytes = 65536\n[platform]",
            "max_bodies_bytes: 65536 is below max_body_bytes, which is 67108864",
        ),
        ("[platform]", "[limits]\nread_timeout = 5\n[platform]", "a number and a unit"),
        (
            "[platform]",
            "[limits]\nmax_connections = many\n[platform]",
            "a whole number",
        ),
        ("[platform]", "[extra]\n[platform]", "section [extra]: unknown"),
        (
            "[platform]",
            "[peers]\nseeds = 127.0.0.1:1\n[platform]",
            "shared_key: required",
        ),
        ("id = r1", "id = r1\nlog_level = loud", "debug, info, warning, error"),
        ("[router]", "[router\n", "file.ini"),
        ("[listen]", "[router]", "file.ini"),
    ]
    for old, new, expected in cases:
        problems = find_problems(VALID.replace(old, new, 1))
        assert any(expected in problem for problem in problems), (new, problems)
        assert all(problem.startswith("file.ini") for problem in problems), problems


def test_all_problems_are_listed_at_once():
    """Guards against one round trip for each mistake."""
    text = VALID.replace("id = r1", "").replace(
        "callers = 127.0.0.1:8080", "callers = x"
    )
    assert len(find_problems(text)) == 2


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
