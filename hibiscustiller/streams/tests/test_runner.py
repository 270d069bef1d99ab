"""Stream recovery from faults of engines and callers, over loopback connections."""

import sys
from datetime import timedelta

import curio

from hibiscustiller.exceptions import TransportError
from hibiscustiller.streams import ReplayEstimator, compute_stream_fingerprint
from hibiscustiller.streams.tests.fixtures import (
    Bench,
    FixedBudget,
    compute_expected,
)
from hibiscustiller.utils import RefusalReason, Verdict
from hibiscustiller.utils._testing import breaks_invariant, collect_tests

TOKENS = 20


async def _crash_first_stage(bench):
    for engine in bench.find_heads():
        await engine.crash()


async def _crash_last_stage(bench):
    await bench.find_next_stage().crash()


async def _crash_both_stages(bench):
    await _crash_last_stage(bench)
    await _crash_first_stage(bench)


async def _silence_first_stage(bench):
    for engine in bench.find_heads():
        engine.faults.is_silent = True


async def _silence_last_stage(bench):
    bench.find_next_stage().faults.is_silent = True


def _set_fault_at_all(name, value=True):
    async def apply(bench):
        for engine in bench.engines.values():
            setattr(engine.faults, name, value)

    return apply


def _refuse_at_replicas(*replicas):
    async def apply(bench):
        for replica in replicas:
            bench.engines[f"engine-{replica}-0"].faults.refuses = True

    return apply


def _crash_replicas(*replicas):
    async def apply(bench):
        for replica in replicas:
            await bench.engines[f"engine-{replica}-0"].crash()

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
        bench = await Bench.start()
        if before is not None:
            await before(bench)

        async def act(count, bench=bench, actions=actions_by_count):
            if count in actions:
                await actions[count](bench)

        ran = await bench.run("cut the field", TOKENS, act)
        expected = compute_expected("cut the field", TOKENS)
        assert ran.is_ok(), (name, ran)
        assert list(ran.ok_value.tokens) == expected == bench.delivered, name
        assert bench.observer.in_flight == 0, name
        assert not bench.loads.count_own_streams("engine-0-0"), name
        assert not bench.admission.open_grants, name
        tokens = [e for e in bench.observer.events if e in ("first", "token")]
        assert len(tokens) == TOKENS, (name, bench.observer.events)
        await bench.close()


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
        bench = await Bench.start(budget=FixedBudget(budget))
        if before is not None:
            await before(bench)

        async def act(count, bench=bench, actions=actions_by_count):
            if count in actions:
                await actions[count](bench)

        answer = await bench.run("a", TOKENS, act, is_idempotent=is_idempotent)
        assert answer.is_err(), name
        is_retry_advised = answer.err_value.retry_after is not None
        assert is_retry_advised == (is_idempotent or verdict is not_run), name
        assert answer.err_value.verdict is verdict, (name, answer)
        started = sum(len(e.started_streams) for e in bench.engines.values())
        assert (started > 0) == (verdict is ran), name
        if not is_idempotent:
            assert started <= 1, (name, started)
        assert not bench.admission.open_grants, name
        await bench.close()


async def test_non_idempotent_request_may_try_after_a_refusal():
    """Guards against a refusal of a request that has certainly not run."""
    bench = await Bench.start()
    await _refuse_at_replicas(0, 1)(bench)
    for number in range(6):
        options = {"request_id": f"r{number}", "is_idempotent": False}
        assert (await bench.run("a", 3, **options)).is_ok()
    assert "refused" in " ".join(bench.observer.events)
    await bench.close()


async def test_only_attempts_without_progress_spend_the_budget():
    """Guards against refused streams that make progress, and against retry storms."""
    bench = await Bench.start(budget=FixedBudget(0))

    async def act(count):
        if count == 5:
            await _crash_first_stage(bench)

    assert (await bench.run("a", TOKENS, act)).is_ok()
    assert bench.runner._retry_budget.requests == 1
    await bench.close()
    bench = await Bench.start(budget=FixedBudget(1))
    await _refuse_at_replicas(0, 1, 2)(bench)
    answer = await bench.run("a", TOKENS)
    assert answer.err_value.reason is RefusalReason.BACKEND_FAILED
    assert len(bench.admission.grants) == 2
    await bench.close()


async def test_preempted_stream_is_cancelled_and_resumes():
    """Guards against a preempted stream that keeps its slot or loses its tokens."""
    bench = await Bench.start()

    async def preempt(count):
        if count in (5, 12):
            await bench.admission.grants[-1].preempted.set()

    ran = await bench.run("a", TOKENS, preempt)
    assert list(ran.ok_value.tokens) == compute_expected("a", TOKENS)
    assert [r.is_resumed for r in bench.admission.requests] == [False, True, True]
    # The prompt token is charged in each of the 3 attempts, and each answer token once.
    assert sum(bench.admission.charged_tokens) == 3 + TOKENS
    cancels = sum(e.calls_by_path["DELETE /v1/streams"] for e in bench.engines.values())
    assert cancels == 2
    assert "failed" not in " ".join(bench.observer.events)
    await bench.close()
    bench = await Bench.start()
    ran = await bench.run("a", TOKENS, preempt, is_idempotent=False)
    assert ran.is_ok() and len(bench.admission.requests) == 1
    await bench.close()


def _count_cancels(bench):
    calls = [engine.calls_by_path for engine in bench.engines.values()]
    return sum(counts["DELETE /v1/streams"] for counts in calls)


async def test_engine_is_cancelled_when_the_caller_goes_away():
    """Guards against engines that continue an answer after the caller disconnected."""
    for is_cancelled in (False, True):
        bench = await Bench.start()
        reached = curio.Event()

        async def leave(count, reached=reached, is_cancelled=is_cancelled):
            if count == 5:
                await reached.set()
                if not is_cancelled:
                    raise TransportError("gone", Verdict.MAY_HAVE_RUN)

        task = await curio.spawn(bench.run, "a", 2000, leave)
        await reached.wait()
        if is_cancelled:
            await task.cancel()
        else:
            await task.wait()
            assert isinstance(task.exception, TransportError)
        await curio.sleep(0.1)
        assert not bench.find_heads()
        assert _count_cancels(bench) == 1
        assert bench.observer.in_flight == 0 and not bench.admission.open_grants
        assert not bench.registry._runs_by_server
        await bench.close()


async def test_stream_that_is_alone_at_two_deaths_is_quarantined():
    """Guards against a third crash by a request that was alone at two crashes."""
    bench = await Bench.start()

    async def crash_during_replay():
        while len(bench.admission.grants) < 2 or not bench.find_heads():
            await curio.sleep(0)
        await _crash_first_stage(bench)

    async def act(count):
        if count == 5:
            await curio.spawn(crash_during_replay, daemon=True)
            await _crash_first_stage(bench)

    refusal = (await bench.run("a", TOKENS, act)).err_value
    assert refusal.reason is RefusalReason.QUARANTINED
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    await bench.close()


async def test_silent_stage_is_not_a_death():
    """Guards against a stage without a response that counts as a server death."""
    bench = await Bench.start()
    for replica in (0, 1):
        bench.engines[f"engine-{replica}-1"].faults.is_silent = True
    for number in range(4):
        assert (await bench.run("a", 3, request_id=f"r{number}")).is_ok()
    assert "failed" in " ".join(bench.observer.events)
    assert bench.registry.collect_reports() == ()
    await bench.close()


async def test_poison_request_is_contained_and_others_complete():
    """Guards against a request that crashes one server after the other."""
    bench = await Bench.start(replicas=6, token_ms=4)

    async def run(prompt, request_id):
        return await bench.run(prompt, 30, request_id=request_id)

    harmless_tasks = [await curio.spawn(run, f"note {i}", f"i{i}") for i in range(6)]
    await curio.sleep(0.05)
    await _set_fault_at_all("poison", "poison")(bench)
    poison_task = await curio.spawn(run, "poison it", "k1")
    refusal = (await poison_task.join()).err_value
    assert refusal.reason is RefusalReason.QUARANTINED, refusal
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    for number, task in enumerate(harmless_tasks):
        answer = await task.join()
        assert list(answer.ok_value.tokens) == compute_expected(f"note {number}", 30)
    crashed = [e for e in bench.engines.values() if e.is_crashed]
    assert len(crashed) <= 2, [e.options.server_id for e in crashed]
    started = [len(e.started_streams) for e in bench.engines.values()]
    repeated = (await run("poison it", "k2")).err_value
    assert repeated.reason is RefusalReason.QUARANTINED
    assert repeated.verdict is Verdict.NOT_RUN and repeated.retry_after
    assert started == [len(e.started_streams) for e in bench.engines.values()]
    events = {report.event for report in bench.registry.collect_reports()}
    assert events >= {"suspected", "quarantined"}
    fingerprint = compute_stream_fingerprint("greens", "turf-70b", "poison it")
    assert not bench.registry.is_suspect(fingerprint)
    await bench.close()


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
        bench = await Bench.start()
        corrupted = []

        async def corrupt_first_stage(
            count, bench=bench, corrupt=corrupt, corrupted=corrupted
        ):
            if count == 1:
                corrupted.extend(bench.find_heads())
                _corrupt_frames(corrupted[0], corrupt)

        ran = await bench.run("a", 8, corrupt_first_stage)
        assert list(ran.ok_value.tokens) == compute_expected("a", 8), number
        assert bench.delivered == compute_expected("a", 8), number
        failed = f"failed {corrupted[0].options.server_id}"
        assert failed in bench.observer.events, number
        await bench.close()


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
        bench = await Bench.start(estimator=ReplayEstimator)

        async def act(count, bench=bench, seconds=seconds_per_token):
            if count == 5:
                estimator = bench.runner._cache_mover._should_import.__self__
                estimator._seconds_per_token = seconds
                stage = bench.find_next_stage()
                stage.is_leaving = True
                bench.planner._is_usable = lambda s: s != stage.options.server_id
                await _crash_first_stage(bench)

        prompt = " ".join(["a"] * 600)
        ran = await bench.run(prompt, TOKENS, act)
        assert list(ran.ok_value.tokens) == compute_expected(prompt, TOKENS)
        calls = [f"{method} /v1/streams" for method in ("GET", "PUT")]
        moved = [sum(e.calls_by_path[c] for e in bench.engines.values()) for c in calls]
        assert moved == ([1, 1] if should_move else [0, 0]), moved
        await bench.close()


async def test_delay_of_a_slow_caller_is_not_the_engines():
    """Guards against engines that count as slow because the caller reads slowly."""
    bench = await Bench.start()
    delays = []
    bench.observer.note_token = lambda route, delay, is_first: delays.append(delay)

    async def read_slowly(count):
        await curio.sleep(0.05)

    await bench.run("a", 8, read_slowly)
    assert max(delays[1:]) <= max(delays[0], timedelta(milliseconds=40)), delays
    await bench.close()


def _occupy_all_slots(bench):
    """Occupy all slots: engines queue streams and send only keep-alive lines."""
    for engine in bench.engines.values():
        engine._slots.running = engine._slots.limit


async def _free_other_slots(bench):
    """Free the slots of all engines but the one in whose queue a stream waits."""
    while not any(engine._slots.queued for engine in bench.engines.values()):
        await curio.sleep(0.01)
    for engine in bench.engines.values():
        if not engine._slots.queued:
            engine._slots.running = 0


async def test_late_first_token_moves_the_stream_to_another_route():
    """Guards against a stream that waits indefinitely in the queue of one engine."""
    budget = FixedBudget(1)
    bench = await Bench.start(budget=budget)
    _occupy_all_slots(bench)
    task = await curio.spawn(_free_other_slots, bench)
    ran = await curio.timeout_after(20, bench.run("a b", 8))
    await task.join()
    assert ran.ok_value.attempts == 2, ran
    assert bench.delivered == compute_expected("a b", 8)
    first, second = [grant.route.servers for grant in bench.admission.grants]
    assert first.isdisjoint(second)
    assert budget.left == 0
    assert not bench.admission.open_grants
    await curio.sleep(0.1)
    assert _count_cancels(bench) == 1
    await bench.close()


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
        bench = await Bench.start(budget=FixedBudget(retries))
        _occupy_all_slots(bench)
        task = await curio.spawn(
            _free_other_slots if has_others else _do_nothing, bench
        )
        if not has_others:
            bench.planner._has_capacity = lambda s, b=bench: not b.admission.grants
        deadline = timedelta(seconds=2.6)
        running = bench.run("a b", 8, is_idempotent=is_idempotent, deadline=deadline)
        ran = await curio.timeout_after(20, running)
        await task.join()
        refusal = ran.err_value
        assert refusal.reason is RefusalReason.BACKEND_TIMEOUT, refusal
        assert refusal.verdict is Verdict.MAY_HAVE_RUN, refusal
        assert (refusal.retry_after is not None) == is_idempotent
        assert len(bench.admission.grants) == 1
        assert not bench.admission.open_grants
        await curio.sleep(0.1)
        assert _count_cancels(bench) == 1
        await bench.close()


async def _do_nothing(bench):
    return None


async def test_stream_that_expired_in_the_engines_queue_takes_no_slot():
    """Guards against engine slots that are taken by streams without a caller."""
    bench = await Bench.start(replicas=1)
    _occupy_all_slots(bench)
    deadline = timedelta(seconds=0.7)
    for number in range(3):
        ran = await bench.run(f"a {number}", 8, deadline=deadline)
        assert ran.err_value.reason is RefusalReason.BACKEND_TIMEOUT
    # The engine detects a closed connection when it sends its next line.
    await curio.sleep(0.5)
    head = bench.engines["engine-0-0"]
    assert head._slots.queued == 0
    await head._slots.leave()
    assert head._slots.running == head._slots.limit - 1
    await bench.close()


async def test_deadline_holds_over_several_attempts():
    """Guards against a retry that restarts the deadline of the priority class."""
    bench = await Bench.start(replicas=2)
    for engine in bench.engines.values():
        engine.faults.is_silent = True
    deadline = timedelta(seconds=0.9)
    running = bench.run("a b", 8, deadline=deadline)
    ran = await curio.timeout_after(20, running)
    assert ran.err_value.reason is RefusalReason.BACKEND_TIMEOUT, ran
    assert ran.err_value.verdict is Verdict.MAY_HAVE_RUN
    assert len(bench.admission.grants) == 2
    await bench.close()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
