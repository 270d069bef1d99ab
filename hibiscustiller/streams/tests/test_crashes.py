"""Crash registry: suspects, isolation, quarantine and reports between routers."""

import sys
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.streams import (
    QUARANTINE_DURATION,
    CrashEvent,
    CrashRegistry,
    compute_stream_fingerprint,
)
from hibiscustiller.streams.tests.fixtures import StreamHarness
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests
from hibiscustiller.wire._messages_generated import CrashReport


def _make_registry(**options):
    clock = ManualClock()
    return CrashRegistry(clock, **options), clock


def _record_server_death(registry, server, *attempts):
    for attempt in attempts:
        registry.record_death(attempt, server)
    for attempt in attempts:
        registry.record_end(attempt)


def _start_attempts(registry, *fingerprints, server="s1"):
    return [registry.try_start(name, {server}, 0) for name in fingerprints]


def test_suspects_run_apart_and_are_cleared_by_finishing():
    """Guards against two suspects on one server, whose death would be ambiguous."""
    registry, _ = _make_registry()
    _record_server_death(registry, "s1", *_start_attempts(registry, "a", "b", "c"))
    assert all(registry.is_suspect(name) for name in "abc")
    attempt = registry.try_start("a", {"s2", "s3"}, 0)
    assert registry.try_start("b", {"s3"}, 0) is None
    assert registry.list_occupied_servers("b") == {"s2", "s3"}
    assert registry.list_occupied_servers("new") == frozenset()
    assert registry.try_start("new", {"s3"}, 0) is not None
    registry.record_completion(attempt)
    assert not registry.is_suspect("a") and registry.is_suspect("b")
    assert registry.try_start("b", {"s3"}, 0) is not None


def test_sequences_of_deaths_quarantine_the_cause():
    """Guards against quarantines of harmless requests and a missing quarantine of a
    request that crashes servers."""
    table = [
        # Each row has the deaths, each with its server and the requests that ran there,
        # and the requests that are quarantined as a result.
        ([("s1", "a")], ""),
        ([("s1", "a"), ("s2", "a")], "a"),
        ([("s1", "a"), ("s1", "a")], "a"),
        ([("s1", "ab"), ("s2", "a")], "a"),
        ([("s1", "ab"), ("s2", "ax")], "a"),
        ([("s1", "ab"), ("s2", "ax"), ("s3", "bx")], "ab"),
        ([("s1", "ab"), ("s1", "ax")], ""),
        ([("s1", "ab"), ("s2", "c")], ""),
        ([("s1", "abc"), ("s2", "abc")], ""),
    ]
    for deaths, expected in table:
        registry, _ = _make_registry()
        for server, names in deaths:
            # The registry never starts two suspects on one server, so each one starts
            # on a server of its own and is moved.
            attempts = [registry.try_start(name, {name}, 0) for name in names]
            for attempt in attempts:
                registry.record_end(attempt)
                attempt.servers = frozenset({server})
                registry._attempts_by_server.setdefault(server, set()).add(attempt)
            _record_server_death(registry, server, *attempts)
        found = [n for n in "abcx" if registry.get_quarantine(n) is not None]
        assert found == list(expected), (deaths, found)
        assert not registry._attempts_by_server


def test_one_death_counts_once():
    """Guards against a death that counts again when another stream detects it later."""
    registry, _ = _make_registry()
    first, second = _start_attempts(registry, "a", "b")
    registry.record_death(first, "s1")
    registry.record_end(first)
    later = registry.try_start("c", {"s1"}, 0)
    registry.record_death(second, "s1")
    assert not registry.is_suspect("c") and not later.is_attributed
    assert registry.get_quarantine("b") is None


def test_getting_past_the_death_clears_until_the_third():
    """Guards against streams quarantined because hosts failed one after the other."""
    registry, _ = _make_registry()
    for server, is_quarantined in (("s1", False), ("s2", False), ("s3", True)):
        attempt = registry.try_start("a", {server}, 10)
        for _ in range(2):
            registry.record_token(attempt)
        assert registry.list_occupied_servers("a") == frozenset()
        attempt.position = 10
        _record_server_death(registry, server, attempt)
        assert (registry.get_quarantine("a") is not None) == is_quarantined, server


def test_quarantine_ends():
    """Guards against a quarantine or a suspicion that never expires."""
    registry, clock = _make_registry()
    for server in ("s1", "s2"):
        _record_server_death(
            registry, server, *_start_attempts(registry, "a", server=server)
        )
    assert registry.get_quarantine("a") == QUARANTINE_DURATION
    clock.advance(QUARANTINE_DURATION)
    assert registry.get_quarantine("a") is None
    assert not registry.is_suspect("a")


def test_peers_share_suspicions_and_quarantines():
    """Guards against a quarantined request that runs again through another router."""
    first, _ = _make_registry()
    second, clock = _make_registry()
    _record_server_death(first, "s1", *_start_attempts(first, "a"))
    for report in first.collect_reports():
        second.apply_report(report)
    assert first.collect_reports() == ()
    assert second.is_suspect("a")
    _record_server_death(second, "s2", *_start_attempts(second, "a", server="s2"))
    [report] = second.collect_reports()
    assert report.event == CrashEvent.QUARANTINED.value
    first.apply_report(report)
    assert first.get_quarantine("a") is not None
    # Two routers agree as well if each observed one death at which the same request
    # was alone.
    third, _ = _make_registry()
    fourth, _ = _make_registry()
    _record_server_death(third, "s1", *_start_attempts(third, "b"))
    _record_server_death(fourth, "s2", *_start_attempts(fourth, "b", server="s2"))
    for report in third.collect_reports():
        fourth.apply_report(report)
    assert fourth.get_quarantine("b") is not None


def test_suspects_of_two_routers_at_one_death_are_not_alone():
    """Guards against a quarantine of the only stream that this router had on a server
    while another router had one there as well."""
    registry, clock = _make_registry()
    _record_server_death(registry, "s1", *_start_attempts(registry, "a"))
    at_ms = int(clock.now().timestamp() * 1000)
    registry.apply_report(CrashReport("other", "s1", "suspected", at_ms))
    registry.apply_report(CrashReport("a", "s2", "suspected", at_ms))
    assert registry.get_quarantine("a") is None
    registry.apply_report(CrashReport("a", "s3", "suspected", at_ms))
    assert registry.get_quarantine("a") is not None


def _exchange(*registries):
    """Deliver the reports of each router to all other routers."""
    reports = [(registry, registry.collect_reports()) for registry in registries]
    for sender, sent in reports:
        for registry in registries:
            for report in sent if registry is not sender else ():
                registry.apply_report(report)


def test_quarantine_is_lifted_when_another_router_had_a_request_there():
    """Guards against a quarantine of a harmless request on a server that another
    router's request crashed."""
    registries = first, second, third = [_make_registry()[0] for _ in range(3)]
    for server in ("s1", "s2"):
        _record_server_death(
            first, server, *_start_attempts(first, "poison", server=server)
        )
        _record_server_death(
            second, server, *_start_attempts(second, "harmless", server=server)
        )
        if server == "s1":
            _exchange(*registries)
    assert second.get_quarantine("harmless") is not None
    _exchange(*registries)
    for registry in registries:
        assert registry.get_quarantine("harmless") is None
        assert registry.get_quarantine("poison") is None
        assert registry.is_suspect("poison") and registry.is_suspect("harmless")
        assert registry.list_quarantine_reports() == ()
    # They restart one after the other, so that the next death has one possible cause.
    delays = {first.get_start_delay("poison"), second.get_start_delay("harmless")}
    assert delays == {timedelta(0), timedelta(seconds=1)}
    _record_server_death(first, "s3", *_start_attempts(first, "poison", server="s3"))
    second.record_completion(*_start_attempts(second, "harmless", server="s4"))
    _exchange(*registries)
    for registry in registries:
        assert registry.get_quarantine("poison") is not None
        assert registry.get_quarantine("harmless") is None
        assert not registry.is_suspect("harmless")


def test_requests_that_meet_several_deaths_together_restart_one_by_one():
    """Guards against suspects of different routers that share one crash after another.

    With seed 43 of the fault runs, a request that crashes engines and two requests of
    another router ran together at three crashes, so that none was quarantined.
    """
    first, clock = _make_registry()
    second = CrashRegistry(clock)
    registries_by_name = {"poison": first, "x": second, "y": second}

    def list_start_delays():
        found = registries_by_name.items()
        return sorted(registry.get_start_delay(name) for name, registry in found)

    for server in ("s1", "s2"):
        # The registry never starts two suspects on one server, so each one starts
        # on a server of its own and is moved.
        attempts = [second.try_start(name, {name}, 0) for name in "xy"]
        for attempt in attempts:
            second.record_end(attempt)
            attempt.servers = frozenset({server})
            second._attempts_by_server.setdefault(server, set()).add(attempt)
        _record_server_death(
            first, server, *_start_attempts(first, "poison", server=server)
        )
        _record_server_death(second, server, *attempts)
        _exchange(first, second)
        if server == "s1":
            # A single death is an ordinary failure, after which no request is delayed.
            assert list_start_delays() == [timedelta(0)] * 3
    delays = list_start_delays()
    assert delays[1] - delays[0] >= timedelta(seconds=1)
    assert delays[2] - delays[1] >= timedelta(seconds=1)
    clock.advance(first.get_start_delay("poison"))
    _record_server_death(first, "s3", *_start_attempts(first, "poison", server="s3"))
    _exchange(first, second)
    assert first.get_quarantine("poison") is not None
    assert second.get_quarantine("poison") is not None


def test_quarantine_holds_beside_a_request_without_earlier_deaths():
    """Guards against a quarantine that is lifted because of any other request there."""
    registries = first, second = [_make_registry()[0] for _ in range(2)]
    for server in ("s1", "s2"):
        _record_server_death(
            first, server, *_start_attempts(first, "poison", server=server)
        )
    _record_server_death(
        second, "s2", *_start_attempts(second, "bystander", server="s2")
    )
    _exchange(*registries)
    for registry in registries:
        assert registry.get_quarantine("poison") is not None
        assert registry.get_quarantine("bystander") is None


def test_quarantines_are_listed_for_new_routers():
    """Guards against a quarantined request that runs again after a router restart."""
    registry, clock = _make_registry()
    _record_server_death(registry, "s1", *_start_attempts(registry, "a"))
    _record_server_death(registry, "s2", *_start_attempts(registry, "a", server="s2"))
    assert registry.get_quarantine("a") is not None
    other, _ = _make_registry()
    for report in registry.list_quarantine_reports():
        other.apply_report(report)
    assert other.get_quarantine("a") is not None
    assert other.list_quarantine_reports() == registry.list_quarantine_reports()
    clock.advance(timedelta(days=1))
    assert registry.list_quarantine_reports() == ()


async def test_deaths_are_shared_before_the_caller_is_answered():
    """Guards against a repeat that reaches another router before the report does."""
    harness = await StreamHarness.start()
    shared = []

    async def share():
        shared.extend(harness.registry.collect_reports())

    harness.registry.send_reports_now = share
    for engine in harness.engines.values():
        engine.faults.poison = "poison"
    ran = await harness.run("poison", 3)
    assert ran.is_err()
    assert CrashEvent.QUARANTINED.value in [report.event for report in shared]
    await harness.close()


def test_bad_reports_change_nothing():
    """Guards against reports that are outdated, from the future, or malformed."""
    registry, clock = _make_registry()
    now = int(clock.now().timestamp() * 1000)
    bad = [
        CrashReport("", "s1", "quarantined", now),
        CrashReport("a" * 5000, "s1", "quarantined", now),
        CrashReport("a", "s" * 5000, "suspected", now),
        CrashReport("a", "s1", "no such event", now),
        CrashReport("a", "s1", "quarantined", now - 10**9),
        CrashReport("a", "s1", "quarantined", now + 10**9),
        CrashReport("a", "s1", "quarantined", 2**64 - 1),
        CrashReport("a", "s1", "quarantined", 0),
    ]
    for report in bad:
        registry.apply_report(report)
        assert registry.get_quarantine("a") is None, report
        assert not registry.is_suspect("a"), report


def test_fingerprint_tells_parts_apart():
    """Guards against requests of different callers with the same fingerprint."""
    parts = [("ab", "c", "d"), ("a", "bc", "d"), ("a", "b", "cd"), ("a", "b", "\ud800")]
    assert len({compute_stream_fingerprint(*part) for part in parts}) == len(parts)


ACTION_LISTS = st.lists(
    st.tuples(
        st.sampled_from(["start", "kill", "finish", "end", "token", "wait", "report"]),
        st.integers(0, 7),
        st.integers(0, 4),
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(ACTION_LISTS)
def test_any_sequence_of_events_keeps_the_invariants(actions):
    """Guards against suspects on a shared server, leaked attempts, unbounded tables."""
    registry, clock = _make_registry(capacity=4)
    open_attempts = []
    for action, number, server_number in actions:
        name, server = f"r{number}", f"s{server_number}"
        if action == "start" and registry.get_quarantine(name) is None:
            occupied = registry.list_occupied_servers(name)
            attempt = registry.try_start(name, {server, "s0"}, 0)
            assert (attempt is None) == bool(occupied & {server, "s0"})
            if attempt is not None:
                open_attempts.append(attempt)
        elif action == "kill" and any(
            server in attempt.servers for attempt in open_attempts
        ):
            met = [attempt for attempt in open_attempts if server in attempt.servers]
            newly_attributed = {r.fingerprint for r in met if not r.is_attributed}
            before = {
                n for n in newly_attributed if registry.get_quarantine(n) is not None
            }
            _record_server_death(registry, server, *met)
            quarantined = {
                n for n in newly_attributed if registry.get_quarantine(n) is not None
            }
            assert len(quarantined - before) <= 1, (
                "one death leads to at most one quarantine"
            )
            assert all(attempt.is_attributed for attempt in met)
            open_attempts = [attempt for attempt in open_attempts if attempt not in met]
        elif action in ("finish", "end", "token") and open_attempts:
            attempt = open_attempts[number % len(open_attempts)]
            if action == "token":
                registry.record_token(attempt)
                continue
            open_attempts.remove(attempt)
            if action == "finish":
                registry.record_completion(attempt)
                assert not registry.is_suspect(attempt.fingerprint)
            else:
                registry.record_end(attempt)
        elif action == "wait":
            clock.advance(timedelta(minutes=number))
        elif action == "report":
            at_ms = int(clock.now().timestamp() * 1000)
            event = list(CrashEvent)[server_number % 3].value
            registry.apply_report(CrashReport(name, server, event, at_ms))
        registered = {
            attempt
            for attempts in registry._attempts_by_server.values()
            for attempt in attempts
        }
        assert registered == set(open_attempts)
        if registry._occupied_servers is not None:
            assert registry._occupied_servers == registry._find_occupied_servers()
        assert len(registry._suspects) <= 4
        assert len(registry._quarantine_ends) <= 4
        assert len(registry._deaths_by_server) <= 4


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
