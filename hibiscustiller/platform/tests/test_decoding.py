"""Decoding of the platform's settings, configuration and entries, good and bad."""

import json
import sys
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.exceptions import SettingsError, WireFormatError
from hibiscustiller.fleet import LayerRange, RequestKind, ServerState
from hibiscustiller.ingress.tests.fixtures import KEY, make_document
from hibiscustiller.platform import (
    decode_fleet_document,
    decode_server_entry,
    make_caller_fields,
    make_server_fields,
    parse_host_settings,
    read_answer_facts,
    read_request_facts,
)
from hibiscustiller.settings import Address
from hibiscustiller.utils import hash_secret
from hibiscustiller.utils._testing import collect_tests

SETTINGS = """
node_name = "edge-1"
ip = "10.1.0.40"
zone = "north"
region = "region"
port_range = [7340, 7355]
heartbeat_ms = 1200
an_unknown_field = 7
[zones]
north = "region"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[limits]
memory_mb = 300
max_fds = 5000
[bounds]
drain_ms = 2000
config_apply_ms = 3000
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 198
stall_ms = 2000
require_fencing = true
[platform]
address = "10.200.1.7:8223"
value_bytes = 1048576
"""
ENTRY = {
    "service": "engines",
    "address": "10.1.0.9:8080",
    "zone": "north",
    "slots": 96,
    "state": "ready",
    "kind": "large",
    "layers": [{"from": 20, "target": 31, "version": 1}],
    "born": 1772244067004,
}
FIELDS = (
    (b"host", b"router.example"),
    (b"request-id", b"7"),
    (b"connection", b"keep-alive, x-hop, request-id"),
    (b"x-hop", b"1"),
    (b"tenant", b"forged"),
    (b"hop-count", b"forged"),
    (b"authorization", b"Token secret"),
    (b"deadline-ms", b"1500"),
    (b"token-usage", b"760,80"),
    (b"x-other", b"kept"),
)


def test_settings_are_read_and_unknown_fields_ignored():
    """Guards against a daemon that does not start for a field that is new."""
    found = parse_host_settings(SETTINGS)
    assert found.front == Address("10.1.0.40", 8227)
    assert found.drain == timedelta(seconds=2)
    assert found.retry_slack == 198
    assert found.min_lease == timedelta(seconds=1)
    assert found.memory_bytes == 300_000_000
    assert found.max_fds == 5000
    assert found.change_limit == timedelta(seconds=3)
    without_limit = parse_host_settings(SETTINGS.replace("config_apply_ms", "x"))
    assert without_limit.change_limit == timedelta(seconds=2)


def test_bad_settings_name_what_is_wrong():
    """Guards against a daemon that fails without saying why."""
    cases = {
        "node_name": "node_name is missing",
        'front = "10.1.0.40:8227"': "front is missing",
        "[bounds]": "bounds is missing",
        "memory_mb = 300": "memory_mb must be above 0, got -1",
        "max_fds = 5000": "max_fds must be at least 200, got 199",
        "config_apply_ms = 3000": "config_apply_ms must be above 0, got 0",
    }
    for removed, message in cases.items():
        added = "memory_mb = -1" if "memory" in removed else "x = 1 #"
        added = "max_fds = 199" if "max_fds" in removed else added
        added = "config_apply_ms = 0" if "config_apply" in removed else added
        text = SETTINGS.replace(removed, "[other]" if "[" in removed else added)
        try:
            parse_host_settings(text)
        except SettingsError as error:
            assert message in str(error), error
        else:
            raise AssertionError(f"accepted without {removed}")


def test_document_is_decoded():
    """Guards against fields whose names say little being taken for others."""
    document = decode_fleet_document(json.dumps(make_document(version=9)).encode())
    assert document.version == 9
    chat = document.routes[0]
    assert chat.kind is RequestKind.STREAMING
    assert chat.is_repeatable
    assert not document.routes[1].is_repeatable
    engine = document.services_by_name["engines"].engine
    assert engine.layer_token_bytes == 10000
    assert engine.domain_delay == timedelta(milliseconds=0.5)
    assert document.services_by_name["orders"].engine is None
    organisation = document.organisations_by_key_digest[hash_secret(KEY)]
    assert organisation.id == "greens"
    assert KEY not in repr(document)


def test_split_routes_keep_their_weights():
    """Guards against all requests of a split route at one service."""
    values = make_document()
    shares = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    values["routes"][0].pop("service")
    values["routes"][0]["traffic_split"] = shares
    route = decode_fleet_document(json.dumps(values).encode()).routes[0]
    assert route.weights_by_service == {"a": 90, "b": 10}


def test_entry_is_decoded():
    """Guards against the layer after the last one being taken for the last."""
    server = decode_server_entry("servers/i-1", json.dumps(ENTRY).encode())
    assert server.id == "i-1"
    assert server.state is ServerState.READY
    assert server.layers == LayerRange(20, 31)


def test_entries_of_other_writers_name_no_server():
    """Guards against a fleet that stops for an entry that it cannot read."""
    bad = [
        b"\xff\x00",
        b"[]",
        b"null",
        json.dumps({**ENTRY, "address": "nowhere"}).encode(),
        json.dumps({**ENTRY, "address": 7}).encode(),
        json.dumps({**ENTRY, "slots": "96"}).encode(),
        json.dumps({**ENTRY, "state": "asleep"}).encode(),
        json.dumps({**ENTRY, "layers": [{"from": "a", "target": 3}]}).encode(),
        json.dumps({k: v for k, v in ENTRY.items() if k != "zone"}).encode(),
    ]
    for data in bad:
        try:
            decode_server_entry("servers/i-1", data)
        except WireFormatError:
            continue
        raise AssertionError(f"accepted {data!r}")


def make_odd_values():
    """Return JSON texts of values that other writers may leave in any field."""
    return [
        "[" * 100_000 + "]" * 100_000,
        '{"a":' * 50_000 + "1" + "}" * 50_000,
        "1" * 400,
        "1" * 5000,
        "1e999",
        "-1e999",
        "NaN",
        "1e30",
        "-1",
        '""',
        "null",
        "[]",
        "{}",
        "true",
        '"\\ud800"',
    ]


def test_odd_values_in_any_field_are_an_entry_or_a_clear_error():
    """Guards against one odd entry that ends each router that reads the list.

    A number that is accepted also fits into the messages between routers.
    """
    for field in ENTRY:
        for odd in make_odd_values():
            text = json.dumps({**ENTRY, field: "ODD"}).replace('"ODD"', odd)
            try:
                server = decode_server_entry("servers/x", text.encode())
            except WireFormatError:
                continue
            for number in (server.slots, server.born, server.layers.end):
                assert 0 <= number < 2**63, (field, odd[:20])


def test_ports_out_of_range_and_too_many_layers_name_no_server():
    """Guards against a server that no connection can be opened to."""
    odd = [{"address": f"10.1.0.9:{port}"} for port in (70000, 0, -1, "²", "1e3")]
    odd += [{"layers": [{"from": 0, "target": end}]} for end in (10**30, 10**9)]
    for values in odd:
        try:
            decode_server_entry("servers/x", json.dumps({**ENTRY, **values}).encode())
        except WireFormatError:
            continue
        raise AssertionError(f"accepted {values}")


def test_odd_values_in_a_configuration_are_a_clear_error():
    """Guards against an odd configuration that ends the watch of the store."""
    base = make_document()
    for part in ("routes", "services", "tenants", "limits"):
        element = base[part] if part == "limits" else base[part][0]
        for field in element:
            for odd in make_odd_values():
                values = json.loads(json.dumps(base))
                target = values[part] if part == "limits" else values[part][0]
                target[field] = "ODD"
                text = json.dumps(values).replace('"ODD"', odd)
                try:
                    decode_fleet_document(text.encode())
                except WireFormatError:
                    continue


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.binary(max_size=60)
    | st.recursive(
        st.none() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from([*ENTRY]), inner, max_size=6)
        ),
        max_leaves=8,
    ).map(lambda value: json.dumps(value).encode())
)
def test_any_bytes_are_an_entry_or_a_clear_error(data):
    """Guards against an exception that ends the watch of the store."""
    for decode in (
        lambda: decode_server_entry("servers/x", data),
        lambda: decode_fleet_document(data),
    ):
        try:
            decode()
        except WireFormatError:
            continue


def test_request_headers_are_passed_on_without_what_the_router_sets():
    """Guards against forged headers, leaked keys and dropped request ids."""
    made = dict(
        make_server_fields(
            FIELDS,
            time_left=timedelta(milliseconds=1200.7),
            server_id="i-1",
            organisation="greens",
            priority=12,
            pipeline=(
                (Address("10.0.0.1", 80), LayerRange(0, 20)),
                (Address("10.0.0.2", 80), LayerRange(20, 80)),
            ),
            last_event=4,
        )
    )
    assert made[b"request-id"] == b"7"
    assert made[b"host"] == b"router.example"
    assert made[b"x-other"] == b"kept"
    assert made[b"tenant"] == b"greens"
    assert made[b"deadline-ms"] == b"1200"
    assert made[b"request-priority"] == b"9"
    assert made[b"hop-count"] == b"10.0.0.1:80=0-20,10.0.0.2:80=20-80"
    assert made[b"last-event-id"] == b"4"
    assert not {b"authorization", b"connection", b"x-hop"} & set(made)


def test_request_facts():
    """Guards against numbers that a caller writes wrong."""
    facts = read_request_facts(FIELDS)
    assert facts.api_key == "secret"
    assert (facts.prompt_tokens, facts.max_answer_tokens) == (760, 80)
    odd = read_request_facts([(b"deadline-ms", b"-5"), (b"token-usage", b"x,1e9")])
    assert odd.wait_limit is None
    assert odd.prompt_tokens == 0


def test_shared_prompt_parts():
    """Guards against a prompt's own part, or malformed ones, counted as shared."""

    def read_parts(value):
        return read_request_facts([(b"prompt-prefix", value)]).prompt_parts

    assert read_parts(b"5c1e:800, 91BD:410,e440:250") == ("5c1e", "91bd")
    assert read_parts(b"5c1e:800") == read_parts(b"") == ()
    assert read_parts(b"\xff:1,:2,5c1e,zz:3,0b:4") == ("5c1e",)
    assert len(read_parts(b",".join(b"%x:1" % n for n in range(100)))) == 32


def test_answer_facts():
    """Guards against an answer taken for a statement that nothing ran."""
    facts = read_answer_facts(503, [(b"request-id", b"7")])
    assert not facts.is_not_run
    assert not facts.is_sealed
    assert read_answer_facts(421, []).is_not_run
    assert read_answer_facts(503, [(b"not-executed", b"1")]).is_not_run
    answer = [(b"content-length", b"5"), (b"connection", b"close"), (b"x", b"1")]
    assert make_caller_fields(answer) == ((b"x", b"1"),)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
