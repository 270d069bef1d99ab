"""Checks across sections, and that their messages show no secrets."""

import sys

from hibiscustiller.configuration import (
    apply_difference,
    build_config,
    check_difference,
    check_document,
    format_sections,
    parse_sections,
)
from hibiscustiller.configuration.tests._harness import make_sections, make_server
from hibiscustiller.exceptions import SettingsError
from hibiscustiller.utils import hash_secret
from hibiscustiller.utils._testing import collect_tests


def find_problems(difference):
    sections = apply_difference(make_sections(), difference)
    try:
        check_document(sections, build_config(sections))
    except SettingsError as error:
        return error.problems
    return ()


def test_valid_document_is_accepted():
    """Guards against checks that refuse every document."""
    assert find_problems({}) == ()
    # Server a holds all layers, so removing b leaves no gap.
    assert find_problems({"server b": None}) == ()


def test_each_fault_is_named_with_its_section_key_value_and_range():
    """Guards against a broken document in force, and errors nobody can act on."""
    greens = "organisation greens"
    bot_hash = hash_secret("key-bot")
    cases = [
        ({greens: {"priority_class": "none"}}, [greens, "priority_class", "none"]),
        ({greens: {"models": "turf, gone"}}, [greens, "models", "'gone'", "turf"]),
        ({greens: {"services": "gone"}}, [greens, "services", "'gone'"]),
        ({greens: {"weight": "0"}}, [greens, "weight", "'0'", "0.01 to 1000"]),
        ({"server a": None, "server b": None}, ["model turf", "layers 0 to 3"]),
        ({"model wide": {"layers": "4"}}, ["model wide", "layers 0 to 3"]),
        ({"server a": {"last_layer": "9"}}, ["server a", "0, 9", "0 to 8"]),
        ({"server a": {"first_layer": "8"}}, ["server a", "8, 8", "0 to 8"]),
        ({"server a": {"model": "gone"}}, ["server a", "model", "'gone'"]),
        ({"server d": make_server(1, "d0", 0, 8)}, ["server d", "address", ":1"]),
        ({greens: {"key_sha256": bot_hash}}, ["key_sha256", "organisation greens"]),
        ({"link d0 d9": {}}, ["link d0 d9", "'d9'", "d0, d1"]),
        ({"link d0 d0": {}}, ["link d0 d0", "different"]),
        ({"link d1 d0": {}}, ["link d1 d0", "twice"]),
        ({"class slow": {"rank": "0"}}, ["class slow", "rank", "0", "class urgent"]),
        ({"class slow": {"floor": "0.9"}}, ["floor", "1.1", "0 to 1"]),
        ({"team bot": {"owns": "servers *"}}, ["team bot", "owns", "'servers *'"]),
        ({"team sales": {"owns": ""}}, [greens, "no team owns"]),
        ({"service s": {"addresses": ""}}, ["service s", "addresses"]),
        ({"model turf": {"version": "x" * 900_000}}, ["900000", "size"]),
        ({"organisation a b": {}}, ["organisation a b"]),
        ({"shop x": {}}, ["shop x", "[team NAME]"]),
        ({greens: {"colour": "red"}}, [greens, "colour", "accepted keys"]),
    ]
    for difference, words in cases:
        problems = "\n".join(find_problems(difference))
        assert problems, f"accepted: {difference}"
        for word in words:
            assert word in problems, (word, problems[:500])


def test_plain_key_is_never_shown():
    """Guards against a plain key, given instead of its hash, in logs and errors."""
    problems = find_problems({"team bot": {"key_sha256": "my-plain-key"}})
    assert problems and "my-plain-key" not in "\n".join(problems)


def test_text_that_ini_cannot_hold_is_refused():
    """Guards against a snapshot that reads back as another document."""
    cases = [
        {"model turf": {"version": "1\n[team x]"}},
        {"model turf": {"version": "1\r2"}},
        {"model turf]\n[team x": {}},
        {"model [x]": {}},
        {" model x": {}},
        {"model  x": {}},
        {"link a": {}},
        {"organisation a/b": {}},
        {"model /a": {}},
        {"model turf": {"a = b": "1"}},
    ]
    for difference in cases:
        try:
            check_difference(difference)
        except SettingsError:
            continue
        raise AssertionError(f"accepted: {difference}")


def test_names_in_use_are_accepted():
    """Guards against checks that refuse common names of models and servers."""
    for heading in ("model chalk/turf-70b", "server eu-1.rack_2:0", "link d0 d1"):
        check_difference({heading: {}})


def test_accepted_text_reads_back_unchanged():
    """Guards against values that the INI form alters, such as comment signs."""
    sections = make_sections()
    for value in ("# 1", "; 1", "[x]", "a = b", "a: b", "%(x)s", "é ü", ""):
        sections["model turf"]["version"] = value
        check_difference({"model turf": {"version": value}})
        assert parse_sections(format_sections(sections), "test") == sections, value


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
