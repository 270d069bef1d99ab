"""Stream recovery from faults of engines and callers, over loopback connections."""

import sys
from datetime import timedelta

import curio

from hibiscustiller.exceptions import TransportError
from hibiscustiller.streams import ReplayEstimator, compute_stream_fingerprint
from hibiscustiller.streams.tests.fixtures import (
    FixedBudget,
    StreamHarness,
    compute_expected,
)
from hibiscustiller.utils import RefusalReason, Verdict
from hibiscustiller.utils._testing import breaks_invariant, collect_tests

TOKENS = 20


async def _crash_first_stage(harness):
    for engine in harness.find_first_stages():
        await engine.crash()


async def _crash_last_stage(harness):
    await harness.find_last_stage().crash()


async def _crash_both_stages(harness):
    await _crash_last_stage(harness)
    await _crash_first_stage(harness)


async def _silence_first_stage(harness):
    for engine in harness.find_first_stages():
        engine.faults.is_silent = True


async def _silence_last_stage(harness):
    harness.find_last_stage().faults.is_silent = True


def _set_fault_at_all(name, value=True):
    async def apply(harness):
        for engine in harness.engines.values():
            setattr(engine.faults, name, value)

    return apply


def _refuse_at_replicas(*replicas):
    async def apply(harness):
        for replica in replicas:
            harness.engines[f"engine-{replica}-0"].faults.refuses = True

    return apply


def _crash_replicas(*replicas):
    async def apply(harness):
        for replica in replicas:
            await harness.engines[f"engine-{replica}-0"].crash()

    return apply


async def test_answer_is_whole_under_every_fault():
    """Guards against lost, repeated or wrong tokens after any fault of an engine."""
    # Each row has the fault before the stream starts and the faults by token count.
    table = [
        ("first stage dies", None, {5: _crash_first_stage}),
        ("last stage dies", None, {5: _crash_last_stage}),
        ("whole replica dies", None, {5: _crash_both_stages}),
        ("first stage dies before the first token", _crash_replicas(0), {}),
        ("stages die twice", None, {5: _crash_first_stage, 14: _crash_last_stage}),
        (
            "dies again while it recovers",
            None,
            {5: _crash_first_stage, 7: _crash_first_stage},
        ),
        ("connection falls silent", None, {5: _silence_first_stage}),
        ("last stage falls silent", None, {5: _silence_last_stage}),
        ("frames are repeated", _set_fault_at_all("duplicates_frames"), {}),
        ("frames of older attempts", _set_fault_at_all("stale_frames"), {}),
        (
            "older frames after a recovery",
            _set_fault_at_all("stale_frames"),
            {5: _crash_first_stage},
        ),
        ("refused, then accepted", _refuse_at_replicas(0, 1), {}),
        ("slow engines", _set_fault_at_all("slowdown", 3.0), {5: _crash_first_stage}),
    ]
    for name, before, actions_by_count in table:
        harness = await StreamHarness.start()
        if before is not None:
            await before(harness)

        async def act(count, harness=harness, actions=actions_by_count):
            if count in actions:
                await actions[count](harness)

        ran = await harness.run("cut the field", TOKENS, act)
        expected = compute_expected("cut the field", TOKENS)
        assert ran.is_ok(), (name, ran)
        assert list(ran.ok_value.tokens) == expected == harness.delivered, name
        assert harness.observer.in_flight == 0, name
        assert not harness.loads.count_own_streams("engine-0-0"), name
        assert not harness.admission.open_grants, name
        tokens = [e for e in harness.observer.events if e in ("first", "token")]
        assert len(tokens) == TOKENS, (name, harness.observer.events)
        await harness.close()


async def test_refusal_carries_the_right_verdict():
    """Guards against a verdict that does not match whether the request ran."""
    not_run, ran = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN
    table = [
        ("all refuse", _refuse_at_replicas(0, 1, 2), {}, 99, not_run, True),
        ("none listens", _crash_replicas(0, 1, 2), {}, 99, not_run, True),
        ("no budget, refused", _refuse_at_replicas(0, 1, 2), {}, 0, not_run, True),
        (
            "not idempotent, refused",
            _refuse_at_replicas(0, 1, 2),
            {},
            99,
            not_run,
            False,
        ),
        ("not idempotent, dies", None, {5: _crash_first_stage}, 99, ran, False),
        ("not idempotent, silent", None, {5: _silence_first_stage}, 99, ran, False),
        (
            "none is left after a start",
            None,
            {5: _crash_replicas(0, 1, 2)},
            99,
            ran,
            True,
        ),
    ]
    for name, before, actions_by_count, budget, verdict, is_idempotent in table:
        harness = await StreamHarness.start(budget=FixedBudget(budget))
        if before is not None:
            await before(harness)

        async def act(count, harness=harness, actions=actions_by_count):
            if count in actions:
                await actions[count](harness)

        answer = await harness.run("a", TOKENS, act, is_idempotent=is_idempotent)
        assert answer.is_err(), name
        is_retry_advised = answer.err_value.retry_after is not None
        assert is_retry_advised == (is_idempotent or verdict is not_run), name
        assert answer.err_value.verdict is verdict, (name, answer)
        started = sum(len(e.started_streams) for e in harness.engines.values())
        assert (started > 0) == (verdict is ran), name
        if not is_idempotent:
            assert started <= 1, (name, started)
        assert not harness.admission.open_grants, name
        await harness.close()


async def test_non_idempotent_request_may_try_after_a_refusal():
    """Guards against a refusal of a request that has certainly not run."""
    harness = await StreamHarness.start()
    await _refuse_at_replicas(0, 1)(harness)
    for number in range(6):
        options = {"request_id": f"r{number}", "is_idempotent": False}
        assert (await harness.run("a", 3, **options)).is_ok()
    assert "refused" in " ".join(harness.observer.events)
    await harness.close()


async def test_only_attempts_without_progress_spend_the_budget():
    """Guards against refused streams that make progress, and against retry storms."""
    harness = await StreamHarness.start(budget=FixedBudget(0))

    async def act(count):
        if count == 5:
            await _crash_first_stage(harness)

    assert (await harness.run("a", TOKENS, act)).is_ok()
    assert harness.runner._retry_budget.requests == 1
    await harness.close()
    harness = await StreamHarness.start(budget=FixedBudget(1))
    await _refuse_at_replicas(0, 1, 2)(harness)
    answer = await harness.run("a", TOKENS)
    assert answer.err_value.reason is RefusalReason.BACKEND_FAILED
    assert len(harness.admission.grants) == 2
    await harness.close()


async def test_preempted_stream_is_cancelled_and_resumes():
    """Guards against a preempted stream that keeps its slot or loses its tokens."""
    harness = await StreamHarness.start()

    async def preempt(count):
        if count in (5, 12):
            await harness.admission.grants[-1].preempted.set()

    ran = await harness.run("a", TOKENS, preempt)
    assert list(ran.ok_value.tokens) == compute_expected("a", TOKENS)
    assert [r.is_resumed for r in harness.admission.requests] == [False, True, True]
    # The prompt token is charged in each of the 3 attempts, and each answer token once.
    assert sum(harness.admission.charged_tokens) == 3 + TOKENS
    cancels = sum(
        e.calls_by_path["DELETE /v1/streams"] for e in harness.engines.values()
    )
    assert cancels == 2
    assert "failed" not in " ".join(harness.observer.events)
    await harness.close()
    harness = await StreamHarness.start()
    ran = await harness.run("a", TOKENS, preempt, is_idempotent=False)
    assert ran.is_ok() and len(harness.admission.requests) == 1
    await harness.close()


def _count_cancels(harness):
    calls = [engine.calls_by_path for engine in harness.engines.values()]
    return sum(counts["DELETE /v1/streams"] for counts in calls)


async def test_engine_is_cancelled_when_the_caller_goes_away():
    """Guards against engines that continue an answer after the caller disconnected."""
    for is_cancelled in (False, True):
        harness = await StreamHarness.start()
        reached = curio.Event()

        async def leave(count, reached=reached, is_cancelled=is_cancelled):
            if count == 5:
                await reached.set()
                if not is_cancelled:
                    raise TransportError("gone", Verdict.MAY_HAVE_RUN)

        task = await curio.spawn(harness.run, "a", 2000, leave)
        await reached.wait()
        if is_cancelled:
            await task.cancel()
        else:
            await task.wait()
            assert isinstance(task.exception, TransportError)
        await curio.sleep(0.1)
        assert not harness.find_first_stages()
        assert _count_cancels(harness) == 1
        assert harness.observer.in_flight == 0 and not harness.admission.open_grants
        assert not harness.registry._attempts_by_server
        await harness.close()


async def test_stream_that_is_alone_at_two_deaths_is_quarantined():
    """Guards against a third crash by a request that was alone at two crashes."""
    harness = await StreamHarness.start()

    async def crash_during_replay():
        while len(harness.admission.grants) < 2 or not harness.find_first_stages():
            await curio.sleep(0)
        await _crash_first_stage(harness)

    async def act(count):
        if count == 5:
            await curio.spawn(crash_during_replay, daemon=True)
            await _crash_first_stage(harness)

    refusal = (await harness.run("a", TOKENS, act)).err_value
    assert refusal.reason is RefusalReason.QUARANTINED
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    await harness.close()


async def test_silent_stage_is_not_a_death():
    """Guards against a stage without a response that counts as a server death."""
    harness = await StreamHarness.start()
    for replica in (0, 1):
        harness.engines[f"engine-{replica}-1"].faults.is_silent = True
    for number in range(4):
        assert (await harness.run("a", 3, request_id=f"r{number}")).is_ok()
    assert "failed" in " ".join(harness.observer.events)
    assert harness.registry.collect_reports() == ()
    await harness.close()


async def test_poison_request_is_contained_and_others_complete():
    """Guards against a request that crashes one server after the other."""
    harness = await StreamHarness.start(replicas=6, token_ms=4)

    async def run(prompt, request_id):
        return await harness.run(prompt, 30, request_id=request_id)

    harmless_tasks = [await curio.spawn(run, f"note {i}", f"i{i}") for i in range(6)]
    await curio.sleep(0.05)
    await _set_fault_at_all("poison", "poison")(harness)
    poison_task = await curio.spawn(run, "poison it", "k1")
    refusal = (await poison_task.join()).err_value
    assert refusal.reason is RefusalReason.QUARANTINED, refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    for number, task in enumerate(harmless_tasks):
        answer = await task.join()
        assert list(answer.ok_value.tokens) == compute_expected(f"note {number}", 30)
    crashed = [e for e in harness.engines.values() if e.is_crashed]
    assert len(crashed) <= 2, [e.options.server_id for e in crashed]
    started = [len(e.started_streams) for e in harness.engines.values()]
    repeated = (await run("poison it", "k2")).err_value
    assert repeated.reason is RefusalReason.QUARANTINED
    assert repeated.verdict is Verdict.NOT_RUN and repeated.retry_after
    assert started == [len(e.started_streams) for e in harness.engines.values()]
    events = {report.event for report in harness.registry.collect_reports()}
    assert events >= {"suspected", "quarantined"}
    fingerprint = compute_stream_fingerprint("greens", "turf-70b", "poison it")
    assert not harness.registry.is_suspect(fingerprint)
    await harness.close()


@breaks_invariant(
    "layers_run_once_in_order", "positions_rise_by_one", "attempt_was_started"
)
async def test_invalid_frames_are_recovered_on_another_route():
    """Guards against invalid frames of an engine that reach the caller."""
    cases = [
        lambda frame: {**frame, "position": frame["position"] + 1},
        lambda frame: {**frame, "layers": frame["layers"][::-1]},
        lambda frame: {**frame, "layers": frame["layers"][:1]},
        lambda frame: {**frame, "token": 7},
        lambda frame: {**frame, "position": "x"},
        lambda frame: {**frame, "attempt": frame["attempt"] + 1},
    ]
    for number, corrupt in enumerate(cases):
        harness = await StreamHarness.start()
        corrupted = []

        async def corrupt_first_stage(
            count, harness=harness, corrupt=corrupt, corrupted=corrupted
        ):
            if count == 1:
                corrupted.extend(harness.find_first_stages())
                _corrupt_frames(corrupted[0], corrupt)

        ran = await harness.run("a", 8, corrupt_first_stage)
        assert list(ran.ok_value.tokens) == compute_expected("a", 8), number
        assert harness.delivered == compute_expected("a", 8), number
        failed = f"failed {corrupted[0].options.server_id}"
        assert failed in harness.observer.events, number
        await harness.close()


def _corrupt_frames(engine, corrupt):
    async def send(responder, attempt, frame):
        value = {"attempt": attempt, **frame}
        if frame["position"] == 3:
            value = corrupt(value)
        await engine._send_line(responder, value.pop("attempt"), value)

    engine._send_frame = send


async def test_cache_of_a_living_stage_is_moved_where_it_is_cheaper():
    """Guards against imports that cost more than a replay or change the tokens."""
    for seconds_per_token, should_move in ((1e-9, False), (10.0, True)):
        harness = await StreamHarness.start(estimator=ReplayEstimator)

        async def act(count, harness=harness, seconds=seconds_per_token):
            if count == 5:
                estimator = harness.runner._cache_mover._should_import.__self__
                estimator._seconds_per_token = seconds
                stage = harness.find_last_stage()
                stage.is_leaving = True
                harness.planner._is_usable = lambda s: s != stage.options.server_id
                await _crash_first_stage(harness)

        prompt = " ".join(["a"] * 600)
        ran = await harness.run(prompt, TOKENS, act)
        assert list(ran.ok_value.tokens) == compute_expected(prompt, TOKENS)
        calls = [f"{method} /v1/streams" for method in ("GET", "PUT")]
        moved = [
            sum(e.calls_by_path[c] for e in harness.engines.values()) for c in calls
        ]
        assert moved == ([1, 1] if should_move else [0, 0]), moved
        await harness.close()


async def test_delay_of_a_slow_caller_is_not_the_engines():
    """Guards against engines that count as slow because the caller reads slowly."""
    harness = await StreamHarness.start()
    delays = []
    harness.observer.record_token = lambda route, delay, is_first: delays.append(delay)

    async def read_slowly(count):
        await curio.sleep(0.05)

    await harness.run("a", 8, read_slowly)
    assert max(delays[1:]) <= max(delays[0], timedelta(milliseconds=40)), delays
    await harness.close()


def _occupy_all_slots(harness):
    """Occupy all slots: engines queue streams and send only keep-alive lines."""
    for engine in harness.engines.values():
        engine._slots.running = engine._slots.limit


async def _free_other_slots(harness):
    """Free the slots of all engines but the one in whose queue a stream waits."""
    while not any(engine._slots.queued for engine in harness.engines.values()):
        await curio.sleep(0.01)
    for engine in harness.engines.values():
        if not engine._slots.queued:
            engine._slots.running = 0


async def test_late_first_token_moves_the_stream_to_another_route():
    """Guards against a stream that waits indefinitely in the queue of one engine."""
    budget = FixedBudget(1)
    harness = await StreamHarness.start(budget=budget)
    _occupy_all_slots(harness)
    task = await curio.spawn(_free_other_slots, harness)
    ran = await curio.timeout_after(20, harness.run("a b", 8))
    await task.join()
    assert ran.ok_value.attempts == 2, ran
    assert harness.delivered == compute_expected("a b", 8)
    first, second = [grant.route.servers for grant in harness.admission.grants]
    assert first.isdisjoint(second)
    assert budget.left == 0
    assert not harness.admission.open_grants
    await curio.sleep(0.1)
    assert _count_cancels(harness) == 1
    await harness.close()


async def test_answer_that_never_begins_ends_at_the_deadline():
    """Guards against a stream that outlives the deadline of its class, a second attempt
    without capacity, budget or idempotence, and a wrong verdict."""
    cases = [
        # Whether other engines have capacity, the retry budget, and whether the request
        # is idempotent.
        (False, 9, True),
        (True, 0, True),
        (True, 9, False),
    ]
    for has_others, retries, is_idempotent in cases:
        harness = await StreamHarness.start(budget=FixedBudget(retries))
        _occupy_all_slots(harness)
        task = await curio.spawn(
            _free_other_slots if has_others else _do_nothing, harness
        )
        if not has_others:
            harness.planner._has_capacity = lambda s, b=harness: not b.admission.grants
        deadline = timedelta(seconds=2.6)
        running = harness.run("a b", 8, is_idempotent=is_idempotent, deadline=deadline)
        ran = await curio.timeout_after(20, running)
        await task.join()
        refusal = ran.err_value
        assert refusal.reason is RefusalReason.BACKEND_TIMEOUT, refusal
        assert refusal.verdict is Verdict.MAY_HAVE_RUN, refusal
        assert (refusal.retry_after is not None) == is_idempotent
        assert len(harness.admission.grants) == 1
        assert not harness.admission.open_grants
        await curio.sleep(0.1)
        assert _count_cancels(harness) == 1
        await harness.close()


async def _do_nothing(harness):
    return None


async def test_stream_that_expired_in_the_engines_queue_takes_no_slot():
    """Guards against engine slots that are taken by streams without a caller."""
    harness = await StreamHarness.start(replicas=1)
    _occupy_all_slots(harness)
    deadline = timedelta(seconds=0.7)
    for number in range(3):
        ran = await harness.run(f"a {number}", 8, deadline=deadline)
        assert ran.err_value.reason is RefusalReason.BACKEND_TIMEOUT
    # The engine detects a closed connection when it sends its next line.
    await curio.sleep(0.5)
    head = harness.engines["engine-0-0"]
    assert head._slots.queued == 0
    await head._slots.leave()
    assert head._slots.running == head._slots.limit - 1
    await harness.close()


async def test_deadline_holds_over_several_attempts():
    """Guards against a retry that restarts the deadline of the priority class."""
    harness = await StreamHarness.start(replicas=2)
    for engine in harness.engines.values():
        engine.faults.is_silent = True
    deadline = timedelta(seconds=0.9)
    running = harness.run("a b", 8, deadline=deadline)
    ran = await curio.timeout_after(20, running)
    assert ran.err_value.reason is RefusalReason.BACKEND_TIMEOUT, ran
    assert ran.err_value.verdict is Verdict.MAY_HAVE_RUN
    assert len(harness.admission.grants) == 2
    await harness.close()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
