"""A large change of the configuration in a large fleet.

The store's link carries some whole documents at a time, and the routers' links fewer.
"""

import random
import sys
from datetime import timedelta

import curio

from hibiscustiller.discovery._change_codec import decode_change, encode_change
from hibiscustiller.discovery.tests.fixtures import CHANGE_LIMIT, Fleet, Link
from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.platform import DOCUMENT_KEY, Change, Revision
from hibiscustiller.utils._testing import collect_tests, in_simulated_time

# The platform's time from the acknowledgement of a configuration until it is in force.
APPLY_TIME = timedelta(seconds=4)
# 1,000 Mbit/s, shared by all answers of the store.
STORE_LINK_BYTES_PER_S = 125e6
# Little more than the rate below which a read is given up.
SLOW_LINK_BYTES_PER_S = 34_000
# 10 Mbit/s, for all that a router sends.
ROUTER_LINK_BYTES_PER_S = 1.25e6
# An element of the document for one route.
ROUTE_BYTES = 280


def make_document(version, routes, seed=1):
    """Return a document with the size of one that has some routes."""
    rng = random.Random(seed)
    # The elements end like those of a document and are cheap to decode.
    elements = "},".join(
        f"r-{number}:{rng.getrandbits(8 * 20):x}".ljust(ROUTE_BYTES, ".")
        for number in range(routes)
    )
    text = f'{{"version":{version},"routes":[],"services":[],"more":"{elements}"}}'
    return text.encode()


async def measure_change(fleet, routes, changes=1, gap_s=0.3):
    """Return the times after which a large change is in force on the routers.

    Routers where it is not in force within the apply time are left out.

    :param changes: number of changes in series, the last of which counts.
    """
    for version in range(2, 2 + changes):
        fleet.store.put(DOCUMENT_KEY, make_document(version, routes))
        began_at = await curio.clock()
        if version < 1 + changes:
            await curio.sleep(gap_s)
    times = {}
    async with curio.ignore_after(APPLY_TIME.total_seconds()):
        while len(times) < len(fleet.running):
            now = await curio.clock()
            for member in fleet.running:
                document = member.view.document
                if document is not None and document.version == 1 + changes:
                    times.setdefault(member.router_id, now - began_at)
            await curio.sleep(0.01)
    return sorted(times.values())


@in_simulated_time
async def test_a_large_change_in_a_series_reaches_a_large_fleet_in_time():
    """Guards against reads of all routers at once that all exceed their timeout."""
    fleet = Fleet(230, link_bytes_per_s=ROUTER_LINK_BYTES_PER_S)
    fleet.store.put(DOCUMENT_KEY, make_document(1, 130))
    async with fleet:
        fleet.store.link.bytes_per_s = STORE_LINK_BYTES_PER_S
        times = await measure_change(fleet, 1450, changes=4)
        assert len(times) == 230, (len(times), fleet.store.abandoned_calls)


@in_simulated_time
async def test_a_large_fleet_that_starts_at_once_reads_a_large_configuration():
    """Guards against first reads of all routers that all exceed their timeout."""
    fleet = Fleet(230)
    fleet.store.put(DOCUMENT_KEY, make_document(1, 1450))
    fleet.store.link.bytes_per_s = STORE_LINK_BYTES_PER_S
    for member in fleet.members:
        await member.start()
    await fleet.wait_for_all(APPLY_TIME.total_seconds())
    assert all(member.view.document is not None for member in fleet.members)


@in_simulated_time
async def test_a_renewal_does_not_confirm_a_state_while_its_change_is_arriving():
    """Guards against final refusals while the answer of a watch arrives slowly."""
    fleet = Fleet(1)
    fleet.store.put(DOCUMENT_KEY, make_document(1, 130))
    async with fleet:
        member = fleet.members[0]
        fleet.store.link.bytes_per_s = SLOW_LINK_BYTES_PER_S
        fleet.store.put(DOCUMENT_KEY, make_document(2, 1450))
        await curio.sleep(CHANGE_LIMIT.total_seconds())
        currency = member.relay.get_currency()
        assert currency.version == 1 and not currency.is_confirmed, currency


@in_simulated_time
async def test_a_slow_read_of_the_store_does_not_hold_up_changes_of_other_routers():
    """Guards against a router that is kept behind by its own slow read."""
    fleet = Fleet(8)
    fleet.store.put(DOCUMENT_KEY, make_document(1, 1450))
    async with fleet:
        member = next(m for m in fleet.members if not m.relay.is_follower)
        member.watcher._store.link = Link(SLOW_LINK_BYTES_PER_S)
        await member.watcher.request_full_read()
        await curio.sleep(0.1)
        fleet.store.put(DOCUMENT_KEY, make_document(2, 1450))
        await curio.sleep(CHANGE_LIMIT.total_seconds())
        assert member.view.document.version == 2


def test_a_delta_to_another_base_of_the_same_revision_is_not_used():
    """Guards against a document that can be read and lacks routes."""
    base, other, value = (
        make_document(version, 200, seed) for version, seed in ((1, 1), (1, 2), (2, 1))
    )
    change = Change(DOCUMENT_KEY, value, Revision(1, 8))
    sent = encode_change(change, Revision(1, 7), lambda key, at: (Revision(1, 7), base))
    found = decode_change(sent, lambda key, at: (Revision(1, 7), base))
    assert found == change
    try:
        found = decode_change(sent, lambda key, at: (Revision(1, 7), other))
    except WireFormatError:
        return
    raise AssertionError(f"{len(found.value)} bytes were used instead of {len(value)}")


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
