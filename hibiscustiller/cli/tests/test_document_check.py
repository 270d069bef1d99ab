"""Command that checks a document before it is sent."""

import json
import sys
import tempfile
from pathlib import Path

from click.testing import CliRunner

from hibiscustiller.cli import main
from hibiscustiller.configuration import format_sections
from hibiscustiller.configuration.tests._harness import make_sections
from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.ingress.tests.fixtures import KEY, make_document
from hibiscustiller.platform import decode_fleet_document
from hibiscustiller.platform.tests.test_decoding import SETTINGS, make_odd_values
from hibiscustiller.utils._testing import collect_tests


def make_sound():
    """Return a document without findings."""
    values = make_document()
    values["routes"][1]["max_attempts"] = 1
    return values


def check(data, against=None, *options, settings=None, suffix=""):
    """Run the command on the contents of files."""
    with tempfile.TemporaryDirectory() as folder:
        paths = [Path(folder) / f"{name}{suffix}" for name in ("new", "old", "host")]
        for path, content in zip(paths, (data, against, settings), strict=True):
            if isinstance(content, dict):
                content = json.dumps(content)
            if content is not None:
                path.write_bytes(
                    content if isinstance(content, bytes) else content.encode()
                )
        arguments = ["check-document", str(paths[0]), *options]
        arguments += [] if against is None else ["--against", str(paths[1])]
        arguments += [] if settings is None else ["--host-settings", str(paths[2])]
        result = CliRunner().invoke(main, arguments)
    assert result.exception is None or isinstance(result.exception, SystemExit), result
    return result


def test_exit_codes_and_lines():
    """Guards against a pipeline that sends a document in spite of findings."""
    clean = check(make_sound(), make_sound(), settings=SETTINGS)
    assert clean.exit_code == 0 and clean.output.endswith("no findings\n")
    found = check(make_document())
    assert found.exit_code == 1
    (line,) = found.output.splitlines()
    assert line.startswith("warning routes[1] once: 2 attempts")
    older = check(make_sound() | {"version": 0}, make_sound())
    assert older.exit_code == 1 and "below version 1" in older.output
    newer = make_sound() | {"version": 2, "limits": {}}
    changed = check(newer, make_sound())
    assert changed.exit_code == 0
    assert "changed limits: max_header_bytes 4096 -> 16384" in changed.output


def test_json_output():
    """Guards against output that tools cannot read."""
    newer = make_document() | {"version": 2, "limits": {}}
    value = json.loads(check(newer, make_sound(), "--format", "json").output)
    assert value.keys() == {"findings", "changes"}
    assert value["findings"][0]["place"] == "routes[1] once"
    route, limits = value["changes"]
    assert route["fields"] == {"max_attempts": {"old": "1", "new": "2"}}
    assert limits["change"] == "changed" and "next request" in limits["effect"]


def test_unreadable_files():
    """Guards against a stack trace, or exit code 0, for a file that is no document."""
    for data in (b"", b"{", b"[]", b"hello", b"\xff\xfe{", b"[a]\nb = \xff"):
        assert check(data).exit_code == 2, data
    nested = '{"a":' * 50_000 + "1" + "}" * 50_000
    assert check(nested).exit_code == 2
    for data in ("[" * 100_000, "[]", "1", "null"):
        assert check(data, suffix=".json").exit_code == 2
    assert check(None).exit_code == 2
    assert check(b"\xef\xbb\xbf" + json.dumps(make_sound()).encode()).exit_code == 0
    assert check(make_sound(), "[]").exit_code == 2
    assert check(make_sound(), format_sections(make_sections())).exit_code == 2
    assert check(make_sound(), make_sound() | {"routes": 1}).exit_code == 2
    assert check(make_sound(), settings="node_name = ").exit_code == 2
    assert check(make_sound(), settings=b"\xff").exit_code == 2
    assert check(format_sections(make_sections()), settings=SETTINGS).exit_code == 2


def test_odd_values_are_findings_at_their_place():
    """Guards against a crash, or a clean report, for values that daemons refuse."""
    base = make_sound()
    for part in ("routes", "services", "tenants", "limits"):
        element = base[part] if part == "limits" else base[part][0]
        for field in element:
            for odd in make_odd_values():
                values = json.loads(json.dumps(base))
                target = values[part] if part == "limits" else values[part][0]
                target[field] = "ODD"
                text = json.dumps(values).replace('"ODD"', odd)
                result = check(text)
                try:
                    decode_fleet_document(text.encode())
                except WireFormatError:
                    assert result.exit_code > 0, (part, field, odd[:20])
                assert all(len(line) < 400 for line in result.output.splitlines())
    for part, place in (("routes", "routes[0] chat"), ("services", "services[0]")):
        for field in base[part][0].keys() - {"resumable", "target_gap_ms"}:
            values = json.loads(json.dumps(base))
            values[part][0][field] = [[]]
            result = check(values)
            assert result.exit_code == 1
            assert f"{field} is a list" in result.output
            assert field == "name" or f"error {place}" in result.output


def test_missing_fields_are_all_named():
    """Guards against a check that has to be repeated once for each wrong field."""
    values = make_sound()
    del values["routes"][2]["host"], values["routes"][2]["service"], values["version"]
    values["services"][0]["engine"]["kinds"][1]["pace"] = 0
    lines = check(values).output.splitlines()
    assert lines == [
        "error document: version is missing",
        "error routes[2] book: host is missing",
        "error routes[2] book: service or traffic_split is missing",
        "error services[0] engines engine kinds[1]: pace is 0; accepted is a number"
        " above 0",
    ]


def test_entries_that_the_decoder_drops():
    """Guards against keys and services of which a daemon silently keeps the last."""
    values = make_sound()
    values["tenants"] += [
        {"name": "reds", "api_keys": [KEY, "b", "b"]},
        {"name": "blues", "api_keys": []},
    ]
    values["services"].append({"name": "orders"})
    result = check(values)
    places = [line.partition(":")[0] for line in result.output.splitlines()]
    assert places == [
        "error services[2] orders",
        "error tenants[1] reds",
        "warning tenants[1] reds",
        "warning tenants[2] blues",
    ]
    assert KEY not in result.output


def test_sections_of_the_products_own_form():
    """Guards against INI documents checked as if they were empty, and shown hashes."""
    old = make_sections()
    digest = "0" * 64
    team = {"team bot": old["team bot"] | {"key_sha256": digest}}
    rekeyed = check(format_sections(old | team), format_sections(old))
    assert rekeyed.output.startswith("changed section [team bot]: key_sha256")
    assert digest not in rekeyed.output
    assert old["team bot"]["key_sha256"] not in rekeyed.output
    new = old | {"model turf": {"layers": "9"}, "class night": {"rank": "5"}}
    del new["organisation greens"]
    assert check(format_sections(old)).exit_code == 0
    result = check(format_sections(new), format_sections(old))
    assert result.exit_code == 1
    finding, *changes = result.output.splitlines()
    assert finding.startswith("error section [model turf] key layers: value 9")
    assert changes == [
        "added section [class night]",
        "changed section [model turf]: layers 8 -> 9",
        "removed section [organisation greens]",
    ]


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
