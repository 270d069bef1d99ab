"""Routers that are cut off from all servers, while callers and routers reach them."""

import sys
from collections import Counter
from dataclasses import replace

import curio

from hibiscustiller.ingress.tests.cuts import Cut, ServerLinks
from hibiscustiller.ingress.tests.fixtures import World
from hibiscustiller.platform import Revision
from hibiscustiller.utils._testing import collect_tests

CUTS = (Cut.RESET, Cut.SILENT, Cut.REFUSED_NEW)
# A cut must have no effect on callers after this time.
SETTLING_S = 1.5


class CutWorld(World):
    """Three gateways; the last one's links to the servers can be cut."""

    def __init__(self, **options):
        super().__init__(**options)
        self.links = ServerLinks()

    async def __aenter__(self):
        await super().__aenter__()
        self.hold_all_layers(*self.engines)
        await self.start_other("router-2")
        self.cut_gateway = await self.start_other("router-3", self.links.connect)
        for gateway in self.gateways:
            await self.wait_until(lambda g=gateway: self.count_pipelines(g) == 2)
        return self

    @property
    def gateways(self):
        return [self.gateway, *self.others]

    @property
    def sound_gateways(self):
        return [g for g in self.gateways if g is not self.cut_gateway]

    def count_pipelines(self, gateway):
        forwarder = gateway.models.forwarders_by_service.get("engines")
        return 0 if forwarder is None else len(forwarder.selector.pipelines)

    async def keep_busy(self, gateway, duration_s):
        """Send requests of each kind for a time and return all answers by path."""
        until = await curio.clock() + duration_s
        answers_by_path = {"/chat/1": [], "/stock/1": [], "/book/1": []}
        while await curio.clock() < until:
            for path, answers in answers_by_path.items():
                answers.append(await self.request(path, gateway))
        return answers_by_path


async def test_a_cut_of_one_router_leaves_the_servers_to_the_others():
    """Guards against routers that give up all servers because one cannot reach them.

    A refused connection was taken for the end of a process, and every router believed
    the report of it.
    """
    for kind in CUTS:
        async with CutWorld() as world:
            await world.links.cut(kind)
            await world.keep_busy(world.cut_gateway, 1.0)
            for gateway in world.sound_gateways:
                assert world.count_pipelines(gateway) == 2, kind
                answers_by_path = await world.keep_busy(gateway, 0.5)
                for path, answers in answers_by_path.items():
                    assert {a.status for a in answers} == {200}, (kind, path)


async def test_a_router_uses_the_servers_again_after_a_cut():
    """Guards against servers that a router takes for ended long after a cut."""
    for kind in CUTS:
        async with CutWorld() as world:
            await world.links.cut(kind)
            await world.keep_busy(world.cut_gateway, 1.0)
            world.links.mend()
            await curio.sleep(SETTLING_S)
            assert world.count_pipelines(world.cut_gateway) == 2, kind
            answers_by_path = await world.keep_busy(world.cut_gateway, 0.5)
            for path, answers in answers_by_path.items():
                assert {a.status for a in answers} == {200}, (kind, path)


async def test_a_lost_link_to_one_engine_is_no_end_of_it_for_good():
    """Guards against an engine that the fleet gives up because of one router's link."""
    async with CutWorld() as world:
        engine = world.engines[0]
        world.links.lost_addresses.add(engine.server.address)
        server = world.cut_gateway.view.get_server(engine.id)
        await world.cut_gateway._health.check([server])
        await curio.sleep(4.0)
        for gateway in world.sound_gateways:
            assert world.count_pipelines(gateway) == 2


async def test_requests_during_a_cut_are_not_taken_for_causes_of_crashes():
    """Guards against frequent requests that are refused for minutes after a cut."""
    for kind in (Cut.RESET, Cut.SILENT):
        async with CutWorld() as world:
            for engine in world.engines:
                engine.faults.begins_after_s = 0.3
            for server in world.plain:
                server._work_s = 0.3
            for _ in range(4):
                async with curio.TaskGroup() as tasks:
                    for path in ("/chat/1", "/stock/1", "/book/1"):
                        await tasks.spawn(world.request, path, world.cut_gateway)
                    await curio.sleep(0.1)
                    await world.links.cut(kind)
                world.links.mend()
                await curio.sleep(0.7)
            for gateway in world.gateways:
                assert not gateway.describe()["crashed_requests"], kind
                assert not gateway.describe()["crashed_parts"], kind


async def test_callers_of_a_router_that_is_cut_off_are_served():
    """Guards against callers that are refused because their router reaches no server.

    The caller cannot know that another router would serve it.
    """
    for kind in CUTS:
        async with CutWorld() as world:
            await world.links.cut(kind)
            await world.keep_busy(world.cut_gateway, SETTLING_S)
            answers_by_path = await world.keep_busy(world.cut_gateway, 1.0)
            for path, answers in answers_by_path.items():
                statuses = [answer.status for answer in answers]
                assert set(statuses) == {200}, (kind, path, statuses)
                assert all(answer.is_complete for answer in answers), (kind, path)


async def test_an_engine_that_crashed_is_still_given_up_at_once():
    """Guards against routers that send streams to an engine that has ended."""
    async with CutWorld() as world:
        engine = world.engines[0]
        await curio.spawn(engine.crash, daemon=True)
        for gateway in world.gateways:
            await world.wait_until(lambda g=gateway: world.count_pipelines(g) == 1, 1.0)


def find_event_ids(body):
    return [
        int(line.removeprefix(b"id:"))
        for line in body.splitlines()
        if line.startswith(b"id:")
    ]


async def test_streams_that_run_when_the_links_are_cut_go_on_elsewhere():
    """Guards against broken streams, and events that are missing or repeated."""
    for kind in CUTS:
        async with CutWorld(retry_slack=200.0) as world:
            for engine in world.engines:
                engine._event_count, engine._event_period_s = 40, 0.05
            async with curio.TaskGroup() as tasks:
                for _ in range(4):
                    await tasks.spawn(world.request, "/chat/1", world.cut_gateway)
                await curio.sleep(0.6)
                await world.links.cut(kind)
            for answer in tasks.results:
                assert answer.status == 200 and answer.is_complete, kind
                ids = find_event_ids(answer.body)
                assert ids == list(range(ids[0], ids[0] + 40)), (kind, ids)


async def test_a_stream_that_its_caller_resumes_goes_on_after_its_last_event():
    """Guards against events that a caller gets twice because its resumption is lost.

    Two callers on tizas-norte, refused connections, seed 2, got a stream from the start
    again.
    """
    async with CutWorld() as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)
        answer = await world.request(
            "/chat/1", world.cut_gateway, headers=[("last-event-id", "7")]
        )
        assert answer.status == 200 and answer.is_complete
        assert find_event_ids(answer.body)[0] == 8


async def test_requests_that_must_not_be_repeated_run_once_around_a_cut():
    """Guards against a booking that runs again through another router."""
    for kind in CUTS:
        async with CutWorld() as world:
            for server in world.plain:
                server._work_s = 0.1
            async with curio.TaskGroup() as tasks:
                for number in range(30):
                    await tasks.spawn(
                        lambda request_id=f"{number}": world.request(
                            "/book/1", world.cut_gateway, request_id=request_id
                        )
                    )
                    if number == 15:
                        await world.links.cut(kind)
                    await curio.sleep(0.02)
            runs = [
                request.headers_by_name["request-id"]
                for server in world.plain
                for request in server.requests
            ]
            assert len(runs) == len(set(runs)), kind
            for answer in tasks.results:
                assert answer.status in (200, 502, 503, 504), (kind, answer.status)
            # A status of 503 promises that the request has not run and never will.
            refused = {f"{n}" for n, a in enumerate(tasks.results) if a.status == 503}
            assert refused.isdisjoint(runs), kind


async def test_a_request_that_ran_before_the_cut_is_not_refused_as_not_run():
    """Guards against a promise about a request that another router has not seen run.

    In a soak (seed 104) requests that had run got 503.
    """
    async with CutWorld() as world:
        for server in world.plain:
            server._work_s = 0.3
        async with curio.TaskGroup() as tasks:
            for _ in range(4):
                await tasks.spawn(world.request, "/stock/1", world.cut_gateway)
            await curio.sleep(0.1)
            for server in world.plain:
                server.behave = "full"
            await world.links.cut(Cut.RESET)
        assert any(server.requests for server in world.plain)
        assert {answer.status for answer in tasks.results} <= {502, 504}


async def test_another_router_serves_for_the_same_organisation_and_deadline():
    """Guards against a request that changes on its way through two routers."""
    async with CutWorld() as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)
        for server in world.plain:
            server.requests.clear()
        answer = await world.request(
            "/stock/1",
            world.cut_gateway,
            request_id="one",
            headers=[("x-forwarded-by-router", "a-caller"), ("x-own", "kept")],
        )
        assert answer.status == 200 and answer.headers["request-id"] == "one"
        (request,) = [r for server in world.plain for r in server.requests]
        headers = request.headers_by_name
        assert (headers["tenant"], headers["request-id"]) == ("greens", "one")
        assert headers["x-own"] == "kept" and "authorization" not in headers
        assert 3000 < int(headers["deadline-ms"]) <= 5000
        answer = await world.request("/stock/1", world.cut_gateway, key="unknown")
        assert answer.status == 401
        # A caller cannot let a sound router treat its request as passed on.
        forged = [("x-forwarded-by-router", "router-2")]
        answer = await world.request("/stock/1", world.gateway, headers=forged)
        assert answer.status == 200


def add_route(gateway, prefix):
    """Put a document with one more route in force at a single router."""
    document = gateway.view.document
    template = next(r for r in document.routes if r.prefix == "/stock/")
    gateway.view.apply_document(
        replace(
            document,
            version=document.version + 1,
            routes=(replace(template, name="late", prefix=prefix), *document.routes),
        ),
        Revision(1000, 1),
    )


async def test_a_router_with_an_older_document_leaves_a_request_to_another():
    """Guards against CONFIG: a request was judged by the router it was passed on to.

    That router may be cut off from the store while the first one is not.
    """
    async with CutWorld() as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)
        for gateway in (world.cut_gateway, world.others[0]):
            add_route(gateway, "/late/")
        statuses = [
            (await world.request("/late/1", world.cut_gateway)).status
            for _ in range(12)
        ]
        assert set(statuses) == {200}, statuses


def lower_inner_limit(gateway):
    server = gateway._inner_server
    server.limits = replace(server.limits, max_body_bytes=100)


async def test_a_final_refusal_of_another_router_does_not_reach_the_caller():
    """Guards against DENIED: 404, 413 and the like of a router that was asked in turn.

    What its listener refuses has not reached its dispatcher, which would decline it.
    """
    body = b"a" * 500
    async with CutWorld() as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)
        lower_inner_limit(world.others[0])
        answers = [
            await world.request("/stock/1", world.cut_gateway, body=body)
            for _ in range(12)
        ]
        assert {answer.status for answer in answers} == {200}, answers
        lower_inner_limit(world.gateway)
        answer = await world.request("/stock/1", world.cut_gateway, body=body)
        assert answer.status == 503, answer
        assert answer.headers["x-verdict"] == "not-run"


async def test_a_route_that_other_routers_lack_is_not_refused_for_good():
    """Guards against the 404 of another router, which has another document."""
    async with CutWorld() as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)
        document = world.cut_gateway.view.document
        routes = tuple(r for r in document.routes if r.prefix != "/stock/")
        for gateway in world.sound_gateways:
            newer = replace(document, version=document.version + 1, routes=routes)
            gateway.view.apply_document(newer, Revision(1000, 1))
        answer = await world.request("/stock/1", world.cut_gateway)
        assert answer.status == 503, answer


def set_max_attempts(world, attempts):
    """Put a document with other attempts of its routes in force at all routers."""
    for gateway in world.gateways:
        document = gateway.view.document
        routes = tuple(replace(r, max_attempts=attempts) for r in document.routes)
        document = replace(document, version=document.version + 1, routes=routes)
        gateway.view.apply_document(document, Revision(1000, 1))


async def count_arrivals(path, attempts, delay_s, behave="answer"):
    """Pass slow requests on; return their answers and the most servers of one."""
    async with CutWorld() as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)
        set_max_attempts(world, attempts)
        servers = [*world.plain, *world.engines]
        for server in world.plain:
            server._work_s, server.behave = delay_s, behave
        for engine in world.engines:
            engine.faults.begins_after_s = delay_s
        for server in servers:
            server.requests.clear()
        answers = [
            await world.request(path, world.cut_gateway, request_id=f"n{number}")
            for number in range(4)
        ]
        arrivals = Counter(
            request.headers_by_name["request-id"]
            for server in servers
            for request in server.requests
            if path.encode() in request.target
        )
        return answers, max(arrivals.values())


async def test_a_request_that_was_passed_on_runs_no_more_often_than_its_route_allows():
    """Guards against BUDGET: a second router was asked beside a silent one.

    The silent router may have sent the request to a server, which was not counted.
    """
    for path, delay_s in (("/stock/1", 0.4), ("/chat/1", 0.9)):
        for attempts in (1, 2):
            answers, most = await count_arrivals(path, attempts, delay_s)
            assert most <= attempts, (path, attempts, most)
            assert {answer.status for answer in answers} == {200}, (path, attempts)
    for path, delay_s in (("/book/1", 0.4), ("/once/1", 0.9)):
        _, most = await count_arrivals(path, 2, delay_s)
        assert most == 1, path


async def test_a_failure_at_another_router_leaves_the_attempts_of_the_route():
    """Guards against a repeat that is lost because one attempt was kept back."""
    answers, most = await count_arrivals("/stock/1", 2, 0.0, behave="fail")
    assert most == 2
    assert {answer.status for answer in answers} == {500}


async def test_requests_are_refused_at_once_if_no_router_reaches_a_server():
    """Guards against requests that routers pass to each other in a circle."""
    async with CutWorld() as world:
        second = ServerLinks()
        fourth = await world.start_other("router-4", second.connect)
        await world.kill(world.gateway)
        await world.kill(world.others[0])
        await world.links.cut(Cut.REFUSED_NEW)
        await second.cut(Cut.REFUSED_NEW)
        for gateway in (world.cut_gateway, fourth):
            await world.request("/stock/1", gateway)
            await world.wait_until(lambda g=gateway: g.describe()["is_cut_off"])
        for path in ("/stock/1", "/book/1", "/chat/1"):
            began_at = await curio.clock()
            answer = await world.request(path, world.cut_gateway)
            assert answer.status == 503 and "retry-after" in answer.headers, path
            assert await curio.clock() - began_at < 1.0, path
        world.gateway = world.cut_gateway
        world.others.remove(world.cut_gateway)


async def test_a_router_that_stops_declines_what_others_pass_on():
    """Guards against requests that are lost with the planned stop of another router."""
    async with CutWorld() as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)
        for engine in world.engines:
            engine._event_count, engine._event_period_s = 20, 0.05
        async with curio.TaskGroup() as tasks:
            for _ in range(6):
                await tasks.spawn(world.request, "/chat/1", world.cut_gateway)
            await curio.sleep(0.2)
            stop = await curio.spawn(world.others[0].stop)
            await curio.sleep(0.1)
            for _ in range(6):
                await tasks.spawn(world.request, "/chat/1", world.cut_gateway)
                await tasks.spawn(world.request, "/book/1", world.cut_gateway)
        assert {answer.status for answer in tasks.results} == {200}
        assert all(answer.is_complete for answer in tasks.results)
        await stop.join()
        world.others.pop(0)


async def test_a_caller_that_leaves_ends_its_request_at_the_other_router():
    """Guards against work for callers that have left."""
    async with CutWorld() as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)
        for engine in world.engines:
            engine._event_count, engine._event_period_s = 200, 0.05
        sock = await world.connect(world.cut_gateway)
        task = await curio.spawn(world.exchange, sock, "/chat/1", daemon=True)
        await curio.sleep(0.4)
        assert sum(g.front.busy_count for g in world.gateways) == 1
        await task.cancel()
        await sock.close()
        await curio.sleep(0.4)
        for gateway in world.gateways:
            assert gateway.front.busy_count == 0
            assert gateway._inner_server.busy_count == 0
            assert not gateway.describe()["in_flight"]


async def test_a_router_that_is_cut_off_connects_rarely_until_it_is_back():
    """Guards against routers that flood servers with connections during a cut."""
    async with CutWorld() as world:
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 1.0)
        before = world.links.connect_count
        await world.keep_busy(world.cut_gateway, 2.0)
        # Two connections each half second, and the monitors of idle connections.
        assert world.links.connect_count - before <= 16
        # Without failures no connection serves to test the links.
        world.links.mend()
        await world.wait_until(lambda: not world.cut_gateway.describe()["is_cut_off"])
        assert world.cut_gateway._router_forwarder.choose(()) is not None


async def test_a_router_that_is_cut_off_leaves_control_to_another():
    """Guards against layers that nobody places while the holder reaches no engine."""
    async with CutWorld() as world:

        def find_holders():
            return [g for g in world.gateways if g._control_lease.term is not None]

        await world.wait_until(find_holders)
        holders = find_holders()
        if holders != [world.cut_gateway]:
            await holders[0]._layer_placer.release()
            for gateway in world.sound_gateways:
                gateway._layer_placer._is_stopping = True
            await world.wait_until(lambda: world.cut_gateway._control_lease.term)
            for gateway in world.sound_gateways:
                gateway._layer_placer._is_stopping = False
                await curio.spawn(gateway._layer_placer.run, daemon=True)
        await world.links.cut(Cut.REFUSED_NEW)
        await world.keep_busy(world.cut_gateway, 0.3)
        await world.wait_until(
            lambda: any(g._control_lease.term for g in world.sound_gateways)
        )
        assert world.cut_gateway._control_lease.term is None


async def test_the_loss_of_all_servers_is_survived():
    """Guards against routers that stay cut off after all servers have crashed."""
    async with CutWorld() as world:
        for server in [*world.engines, *world.plain]:
            await curio.spawn(server.crash, daemon=True)
        for gateway in world.gateways:
            for path in ("/stock/1", "/book/1"):
                answer = await world.request(path, gateway)
                assert answer.status in (502, 503, 504), answer.status
        await curio.sleep(2.5)
        for gateway in world.gateways:
            for path in ("/stock/1", "/book/1"):
                assert (await world.request(path, gateway)).status == 200


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
