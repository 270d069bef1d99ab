"""Fixture with forwarders, a store stand-in and a booking service."""

import json
import random
from datetime import timedelta

from result import Err

from hibiscustiller.configuration import ServiceConfig
from hibiscustiller.orders import ServiceCall, ServiceForwarder
from hibiscustiller.platform import EtcdStore
from hibiscustiller.settings import Address
from hibiscustiller.standins import BookingStandin, PlatformStandin
from hibiscustiller.utils import Metrics, SystemClock, violations_by_name
from hibiscustiller.wire import HttpClient

ANY_PORT = Address("127.0.0.1", 0)
STORE_TIMEOUT = timedelta(milliseconds=150)
SERVICE_TIMEOUT = timedelta(milliseconds=400)


class ShiftedClock(SystemClock):
    """System clock with an adjustable offset that simulates a pause."""

    def __init__(self):
        self.offset = timedelta(0)

    def now(self):
        return super().now() + self.offset

    def monotonic(self):
        return super().monotonic() + self.offset

    def boot_time(self):
        return super().boot_time() + self.offset


class OrderFixture:
    """Forwarders of several routers with a common store and two booking replicas.

    :param seed: seed of the random state that the forwarders share.
    """

    def __init__(self, seed=1):
        self.clock = ShiftedClock()
        self.store_clock = ShiftedClock()
        self.random_state = random.Random(seed)
        self.platform = PlatformStandin(ANY_PORT, self.store_clock)
        self.replicas = [BookingStandin(ANY_PORT, SystemClock()) for _ in range(2)]
        self.clients = []
        self.forwarders = []

    async def __aenter__(self):
        await self.platform.start()
        for replica in self.replicas:
            await replica.start()
        return self

    async def __aexit__(self, *args):
        for forwarder in self.forwarders:
            await forwarder._ledger.cancel()
        for client in self.clients:
            await client.close()
        for replica in self.replicas:
            await replica.close()
        await self.platform.close()

    @property
    def service(self):
        return ServiceConfig(
            name="booking",
            addresses=tuple(replica.address for replica in self.replicas),
            non_idempotent=("POST *",),
            timeout=SERVICE_TIMEOUT,
        )

    @property
    def booking_count(self):
        return sum(len(replica.bookings) for replica in self.replicas)

    def count_bookings(self, key):
        return sum(replica.bookings_by_key[key] for replica in self.replicas)

    def set_booking_faults(self, **faults):
        for replica in self.replicas:
            for name, value in faults.items():
                setattr(replica.faults, name, value)

    def set_store_faults(self, **faults):
        for name, value in faults.items():
            setattr(self.platform.faults, name, value)

    def add_router(self, wrap_store=None, client=None, **options):
        client = client or HttpClient(self.clock)
        self.clients.append(client)
        store = EtcdStore(
            client,
            self.platform.address,
            STORE_TIMEOUT,
            clock=self.clock,
            random_state=self.random_state,
        )
        forwarder = ServiceForwarder(
            client,
            store if wrap_store is None else wrap_store(store),
            self.random_state,
            self.clock,
            Metrics(),
            **options,
        )
        self.forwarders.append(forwarder)
        return forwarder


def make_call(
    key="k1",
    quantity=1,
    method="POST",
    path="/bookings",
    content_type="application/json",
    **options,
):
    body = json.dumps({"quantity": quantity}).encode()
    return ServiceCall("greens", method, path, body, content_type, key, **options)


def count_violations():
    """Return the number of violations of the invariants for orders.

    Other invariants are not counted, because tests of other modules in the same process
    violate them on purpose.
    """
    names = ("order_sent_at_most_once", "not_run_means_no_byte_sent")
    return sum(violations_by_name[name] for name in names)


def describe(result):
    """Return the status of a response, or the reason and verdict of a refusal."""
    if isinstance(result, Err):
        refusal = result.err_value
        return refusal.reason.label, refusal.verdict.value
    return result.ok_value.status
