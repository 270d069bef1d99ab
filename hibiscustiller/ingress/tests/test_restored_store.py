"""Routers beside a metadata store that is restored from a copy some seconds old.

What was confirmed stays in force: the newest configuration, withdrawn keys, and the
leaving of servers. What the restored store accepts afterwards is in force as soon as
ever.
"""

import sys

import curio

from hibiscustiller.ingress.tests.fixtures import KEY, make_document
from hibiscustiller.ingress.tests.test_restart_without_store import RestartWorld
from hibiscustiller.utils._testing import collect_tests

# A change of the configuration must be in force on all routers within this time.
CHANGE_LIMIT_S = 2.0
# The operators and the servers write again what the copy lacks some seconds later.
REWRITE_DELAY_S = 4.0


class RestoredWorld(RestartWorld):
    """Three gateways whose store is down for a moment and then restored."""

    async def start_gateway(self):
        await super().start_gateway()
        # All have registered, and their leases are part of each copy.
        await self.wait_until(
            lambda: all(len(g.view.peers_by_id) == 3 for g in self.gateways)
        )

    async def restore(self, copy, down_s=0.5, lost_writes=10):
        """Restore the store to a copy after a short outage.

        :param lost_writes: further writes since the copy, of keys of other systems.
        """
        for number in range(lost_writes):
            self.store.put(f"others/{number}", b"x")
        await self.wait_until(
            lambda: all(
                g.describe()["store_revision"] >= self.store.revision
                for g in self.gateways
            )
        )
        self.store.faults.is_down = True
        await curio.sleep(down_s)
        self.store.restore(copy)
        self.store.faults.is_down = False

    async def put_document(self, document):
        """Write a configuration and wait until it is in force on all gateways."""
        self.store.put("op/config", document)
        await self.wait_for_version(document["version"])

    async def wait_for_version(self, version):
        await self.wait_until(
            lambda: all(g.view.document.version == version for g in self.gateways),
            CHANGE_LIMIT_S,
        )

    async def request_from_all(self, path="/stock/1", **options):
        """Send a request to each gateway and return the set of their statuses."""
        answers = [
            await self.request_from(number, path, **options)
            for number in range(len(self.gateways))
        ]
        return {answer.status for answer in answers}

    async def assert_statuses(self, expected, duration_s, path="/stock/1", **options):
        """Send requests to all gateways for a time and compare each answer."""
        until = await curio.clock() + duration_s
        while await curio.clock() < until:
            assert await self.request_from_all(path, **options) == {expected}
            await curio.sleep(0.1)


def make_document_with_route(version, prefix="/new/"):
    """Return a document with one route more than the first one."""
    document = make_document(version)
    route = {**document["routes"][3], "name": "new", "prefix": prefix}
    document["routes"].append(route)
    return document


async def test_a_confirmed_route_is_served_after_a_restore():
    """Guards against a configuration that goes back, or never changes again.

    The routers compared revisions of the restored store with those from before, read
    all keys several times a second, and put no later change in force.
    """
    async with RestoredWorld() as world:
        await world.put_document(make_document(2))
        copy = world.store.copy()
        await world.put_document(make_document_with_route(3))
        await world.put_document(make_document_with_route(5))
        await world.restore(copy)
        await world.assert_statuses(200, REWRITE_DELAY_S, "/new/1")
        await world.put_document(make_document_with_route(5))
        await world.put_document(make_document_with_route(6, "/newest/"))
        assert await world.request_from_all("/newest/1") == {200}


async def test_a_change_right_after_a_restore_is_in_force_in_time():
    """Guards against a change whose revision was given out before the restore.

    The change has the number of a revision that the routers have seen, so a watch
    after that number does not tell of it.
    """
    async with RestoredWorld() as world:
        copy = world.store.copy()
        await world.put_document(make_document(2))
        await world.restore(copy, lost_writes=0)
        await world.put_document(make_document_with_route(3))
        assert await world.request_from_all("/new/1") == {200}


async def test_a_change_is_in_force_although_a_watch_outlives_the_restore():
    """Guards against a watch that waits for revisions of the state before a restore.

    Its connection survives a short restore; the next changes have lower numbers.
    """
    async with RestoredWorld() as world:
        copy = world.store.copy()
        for number in range(6):
            world.store.put(f"others/{number}", b"x")
        await world.put_document(make_document(2))
        world.store.restore(copy)
        await curio.sleep(1.5)
        await world.put_document(make_document_with_route(3))


async def test_a_withdrawn_key_stays_withdrawn_after_a_restore():
    """Guards against a key that the copy still lists, also at restarted routers."""
    async with RestoredWorld() as world:
        copy = world.store.copy()
        document = make_document(2)
        document["tenants"][0]["api_keys"] = ["another-key"]
        await world.put_document(document)
        await world.restore(copy)
        await world.assert_statuses(401, 2.5, key=KEY)
        # A router that starts now reads the older configuration from the store.
        await world.restart(1)
        await world.wait_until(lambda: world.gateways[1].is_ready)
        await world.wait_for_version(2)
        assert await world.request_from_all(key=KEY) == {401}
        assert await world.request_from_all(key="another-key") == {200}


async def test_a_server_that_left_gets_no_requests_after_a_restore():
    """Guards against the entries of servers that said that they leave, or left."""
    async with RestoredWorld() as world:
        copy = world.store.copy()
        world.plain[0].write_entry("draining")
        await world.wait_until(
            lambda: all(
                g.view.get_server("p0").state.value == "draining"
                for g in world.gateways
            )
        )
        world.store.delete("servers/p0")
        await world.wait_until(
            lambda: all(g.view.get_server("p0") is None for g in world.gateways)
        )
        await world.restore(copy)
        world.plain[0].requests.clear()
        await world.assert_statuses(200, REWRITE_DELAY_S)
        assert not world.plain[0].requests
        # A new process under the same id is another server.
        world.plain[0]._born += 1
        world.plain[0].write_entry()
        await world.wait_until(
            lambda: all(g.view.get_server("p0") is not None for g in world.gateways)
        )


async def test_a_server_that_the_copy_lacks_is_used_until_it_registers_again():
    """Guards against the loss of servers that registered after the copy was made."""
    async with RestoredWorld() as world:
        copy = world.store.copy()
        for key in ("servers/p0", "servers/p1"):
            copy.items.pop(key)
        await world.restore(copy)
        await world.assert_statuses(200, 1.5)
        for server in world.plain:
            server.write_entry()
        await world.assert_statuses(200, 2.5)


async def test_a_restored_store_is_read_a_few_times_only():
    """Guards against routers that read all keys again and again after a restore."""
    async with RestoredWorld() as world:
        copy = world.store.copy()
        await world.put_document(make_document(2))
        await world.restore(copy)
        await curio.sleep(1.0)
        calls = world.store.calls
        await curio.sleep(2.0)
        # Three watches and the renewals of leases: at most 12 a second.
        assert world.store.calls - calls <= 24


async def test_two_restores_in_succession_undo_nothing():
    """Guards against a second restore before the first one is made good."""
    async with RestoredWorld() as world:
        copy = world.store.copy()
        await world.put_document(make_document_with_route(3))
        for _ in range(2):
            await world.restore(copy)
            await world.assert_statuses(200, 0.6, "/new/1")
        await world.assert_statuses(200, 2.0, "/new/1")
        await world.put_document(make_document_with_route(4))
        assert len(world.gateways[0].view.peers_by_id) == len(world.gateways)


async def test_a_router_that_was_down_during_the_restore_serves_the_newest_state():
    """Guards against a snapshot from before a restore that outlives it."""
    async with RestoredWorld() as world:
        copy = world.store.copy()
        for number in range(10):
            world.store.put(f"others/{number}", b"x")
        await world.put_document(make_document_with_route(3))
        world.store.faults.is_down = True
        await world.restart(2)
        await world.wait_until(lambda: world.gateways[2].is_ready)
        await world.restore(copy, lost_writes=0)
        await world.assert_statuses(200, 2.0, "/new/1")
        await world.put_document(make_document_with_route(4, "/newest/"))
        assert await world.request_from_all("/newest/1") == {200}


async def test_no_other_router_takes_control_before_the_old_term_is_over():
    """Guards against two routers that place layers at the same time.

    The restored store lacks the lease of the holder, which has not learnt of it yet.
    """
    async with RestoredWorld() as world:

        def find_holders():
            return [g for g in world.gateways if g._control_lease.term is not None]

        await world.wait_until(find_holders)
        (holder,) = find_holders()

        async def believe_renewed():
            return True

        holder._control_lease.renew = believe_renewed
        copy = world.store.copy()
        del copy.items["control/holder"]
        copy.time_to_live_by_lease.pop(holder._control_lease.term.lease)
        await world.restore(copy)
        until = await curio.clock() + holder._control_lease_ttl.total_seconds() - 0.3
        while await curio.clock() < until:
            assert find_holders() == [holder]
            await curio.sleep(0.01)
        await world.wait_until(lambda: len(find_holders()) == 2)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
