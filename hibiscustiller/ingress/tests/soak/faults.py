"""Fault injection of a soak test, on programs, connections and the store."""

import random
import signal
import time
from collections import defaultdict
from functools import partial

import curio

from hibiscustiller.ingress.tests.soak.processes import send_series
from hibiscustiller.ingress.tests.soak.site import (
    GRACE_S,
    make_versioned_document,
    wait_for_port,
)
from hibiscustiller.standins._programs import FULL_SIGNAL

# Time for which a target counts as disturbed after a fault has ended.
_SETTLING_TIME_S = 3.0
# Time allowed for a planned stop beyond the grace time, since the machine may be busy.
_EXIT_SLACK_S = 1.5
_STORE_KEY = "store"
_SIGNAL_SEED = 44
_WATCH_PERIOD_S = 0.05
# Longer than the stable window, the window of the limit and some time.
_LIMITED_TIME_S = 9.0
# Longer than the drain time of the configuration.
_LEAVING_TIME_S = 4.0
# Around the 1.3 s after which a stream is taken to be stalled, and shorter than the 2 s
# after which a caller leaves.
_SILENCE_S = (0.8, 1.6)
_FULL_TIME_S = 3.0
# Until what the copy lacks has been written again.
_RESTORE_TIME_S = 1.6


class FaultInjector:
    """Injects faults and records when each daemon was disturbed.

    :param deployment: the programs.
    :param callers: callers whose record of configuration versions is updated.
    :param random_state: chooses faults, targets and durations.
    """

    def __init__(self, deployment, callers, random_state):
        self._deployment = deployment
        self._callers = callers
        self._random_state = random_state
        # Separate, so that the signals do not change which faults a seed draws.
        self._signal_random_state = random.Random(_SIGNAL_SEED)
        # Spans by what was disturbed: the number of a daemon, the id of a server or the
        # key of another target. "unplanned" has the spans of all unplanned faults.
        self._spans = defaultdict(list)
        self.problems = []
        self.counts = defaultdict(int)
        # Spans in which a server named its limit, by its id.
        self.limited_spans = defaultdict(list)
        # When the entries of servers were removed and their processes ended, by id.
        self.withdrawn_spans = defaultdict(list)
        # Targets of current faults. No other fault may restart them meanwhile.
        self._occupied = set()

    def list_faults(self):
        """Return the functions that inject and end each fault, by its name."""
        return {
            "daemon-killed": self._kill_daemon,
            "daemon-paused": self._pause_daemon,
            "daemon-stopped": self._stop_daemon,
            "daemon-reloaded": self._reload_daemon,
            "server-killed": self._kill_server,
            "server-paused": self._pause_server,
            "servers-silent": self._silence_servers,
            "engine-full": self._fill_engine,
            "server-limited": self._limit_server,
            "server-leaves": self._let_server_leave,
            "server-withdraws": self._let_server_withdraw,
            "request-crashes-servers": self._crash_servers,
            "part-crashes-servers": self._crash_servers_by_part,
            "store-paused": self._pause_store,
            "store-history-dropped": self._drop_history,
            "store-restored": self._restore_store,
            "store-refused-one": self._refuse_store,
            "link-delayed": self._delay_link,
            "link-reset": self._reset_link,
            "link-silent": self._silence_link,
            "link-one-way": self._cut_one_way,
            "configuration-changed": self._change_configuration,
        }

    async def run(self, end_at, fault_names):
        """Inject faults one after the other.

        Several such series run at the same time, so their faults overlap.
        """
        faults_by_name = self.list_faults()
        while time.monotonic() < end_at:
            name = self._random_state.choice(fault_names)
            self.counts[name] += 1
            await faults_by_name[name]()
            await curio.sleep(self._random_state.random())

    def is_disturbed(self, daemon, since, until):
        """Tell whether a daemon was disturbed in a span of time."""
        return self._has_span(daemon, since, until)

    def is_disturbed_or_disconnected(self, daemon, since, until):
        """Tell whether a daemon, the store or the link between them was disturbed."""
        return self._has_span(daemon, since, until) or any(
            self._has_span(key, since, until) for key in (_STORE_KEY, f"link-{daemon}")
        )

    def has_unplanned_fault(self, since, until):
        """Tell whether an unplanned fault was injected in a span of time."""
        return self._has_span("unplanned", since, until)

    def _has_span(self, key, since, until):
        return any(
            started_at <= until and since <= ended_at + _SETTLING_TIME_S
            for started_at, ended_at in self._spans[key]
        )

    def _record_span(self, key, started_at, *, is_planned=False):
        span = (started_at, time.monotonic())
        self._spans[key].append(span)
        if not is_planned:
            self._spans["unplanned"].append(span)

    def _draw_duration(self, longest_s):
        return self._random_state.uniform(0.1, longest_s)

    def _choose_unoccupied(self, keys):
        """Choose a target without a current fault; None if there is none."""
        free = [key for key in keys if key not in self._occupied]
        return self._random_state.choice(free) if free else None

    async def _run_exclusively(self, key, action, *, is_planned=False):
        """Run an action while no other one has the same target, and record its span.

        :param key: key of the target; None if all targets of its kind are occupied.
        """
        if key is None or key in self._occupied:
            return
        self._occupied.add(key)
        started_at = time.monotonic()
        try:
            await action()
        finally:
            self._occupied.discard(key)
            self._record_span(key, started_at, is_planned=is_planned)

    # Daemons.

    async def _inject_at_daemon(self, inject, *, is_planned=False):
        number = self._choose_unoccupied(range(len(self._deployment.daemons)))
        await self._run_exclusively(
            number,
            lambda: inject(number, self._deployment.daemons[number]),
            is_planned=is_planned,
        )

    async def _start_daemon(self, number, program):
        program.start()
        await wait_for_port(self._deployment.front_addresses[number].port)

    async def _kill_daemon(self):
        async def inject(number, program):
            await program.kill()
            await curio.sleep(self._draw_duration(1.0))
            await self._start_daemon(number, program)

        await self._inject_at_daemon(inject)

    async def _pause_daemon(self):
        async def inject(number, program):
            program.pause()
            await curio.sleep(self._draw_duration(4.0))
            program.resume()

        await self._inject_at_daemon(inject)

    async def _stop_daemon(self):
        """Stop a daemon as planned, with a pair of signals.

        The daemon must answer the requests that it has and exit in time.
        """

        async def inject(number, program):
            first = self._signal_random_state.choice((signal.SIGHUP, signal.SIGTERM))
            send_series(program, (first, signal.SIGTERM), self._signal_random_state)
            status = await program.wait(GRACE_S + _EXIT_SLACK_S)
            if status != 0:
                self.problems.append(
                    f"{program.name} exited with {status} after SIGTERM"
                )
                await program.kill()
            await self._start_daemon(number, program)

        await self._inject_at_daemon(inject, is_planned=True)

    async def _reload_daemon(self):
        number = self._choose_unoccupied(range(len(self._deployment.daemons)))
        if number is not None:
            program = self._deployment.daemons[number]
            send_series(program, [signal.SIGHUP] * 2, self._signal_random_state)

    # Backend servers.

    async def _inject_at_server(self, inject):
        # The kind is chosen first: there are more engines, but only plain servers run
        # requests that must run once.
        prefix = self._random_state.choice(("e", "p"))
        server_id = self._choose_unoccupied(
            [key for key in self._deployment.servers_by_id if key.startswith(prefix)]
        )
        await self._run_exclusively(
            server_id,
            lambda: inject(
                self._deployment.servers_by_id[server_id],
                self._deployment.proxies_by_server[server_id],
            ),
        )

    async def _kill_server(self):
        async def inject(program, proxy):
            await program.kill()
            await proxy.stop()
            await curio.sleep(self._draw_duration(2.0))
            program.start()
            await proxy.start()

        await self._inject_at_server(inject)

    async def _limit_server(self):
        async def inject(program, proxy):
            program.signal(signal.SIGUSR1)
            started_at = time.monotonic()
            incarnation = program.incarnation
            await curio.sleep(_LIMITED_TIME_S)
            if program.incarnation != incarnation or not program.is_running:
                return
            program.signal(signal.SIGUSR1)
            self.limited_spans[program.name].append((started_at, time.monotonic()))

        await self._inject_at_server(inject)

    async def _let_server_leave(self):
        """Let a server say that it leaves, and end some time later."""

        async def inject(program, proxy):
            program.signal(signal.SIGUSR2)
            await curio.sleep(_LEAVING_TIME_S)
            await program.kill()
            await proxy.stop()
            program.start()
            await proxy.start()

        await self._inject_at_server(inject)

    async def _let_server_withdraw(self):
        """Let a server remove its entry without a word, and end some time later."""

        async def inject(program, proxy):
            incarnation = program.incarnation
            program.signal(signal.SIGHUP)
            if await self._deployment.wait_until_removed(program.name):
                removed_at = time.monotonic()
                await curio.sleep(_LEAVING_TIME_S)
                if program.incarnation == incarnation:
                    span = (removed_at, time.monotonic())
                    self.withdrawn_spans[program.name].append(span)
            await program.kill()
            await proxy.stop()
            program.start()
            await proxy.start()

        await self._inject_at_server(inject)

    async def _crash_servers(self):
        await self._run_exclusively(
            "crashing-request", self._callers.repeat_crashing_request
        )

    async def _crash_servers_by_part(self):
        await self._run_exclusively(
            "crashing-request", self._callers.send_crashing_part
        )

    async def restart_servers(self):
        """Restart servers that have crashed, until cancelled."""
        while True:
            await curio.sleep(_WATCH_PERIOD_S)
            for server_id, program in self._deployment.servers_by_id.items():
                if not program.is_running and server_id not in self._occupied:
                    await curio.spawn(self._restart_server, server_id, daemon=True)

    async def _restart_server(self, server_id):
        async def restart():
            await curio.sleep(self._draw_duration(1.0))
            proxy = self._deployment.proxies_by_server[server_id]
            await proxy.stop()
            self._deployment.servers_by_id[server_id].start()
            await proxy.start()

        await self._run_exclusively(server_id, restart)

    async def _pause_server(self):
        async def inject(program, proxy):
            program.pause()
            await curio.sleep(self._draw_duration(3.0))
            program.resume()

        await self._inject_at_server(inject)

    async def _silence_servers(self):
        """Suspend one, some or all free servers of a service for a moment.

        They lose nothing, so that requests that run must end whole.
        """
        prefix = self._random_state.choice(("e", "p"))
        free = [
            server_id
            for server_id in self._deployment.servers_by_id
            if server_id.startswith(prefix) and server_id not in self._occupied
        ]
        count = self._random_state.choice((1, (len(free) + 1) // 2, len(free)))
        length_s = self._random_state.uniform(*_SILENCE_S)

        async def silence(program):
            program.pause()
            await curio.sleep(length_s)
            program.resume()

        async with curio.TaskGroup() as group:
            for server_id in self._random_state.sample(free, min(count, len(free))):
                program = self._deployment.servers_by_id[server_id]
                await group.spawn(
                    partial(
                        self._run_exclusively,
                        server_id,
                        partial(silence, program),
                        is_planned=True,
                    )
                )

    async def _fill_engine(self):
        """Let an engine refuse new requests for some time.

        The engine may be silent meanwhile, so that it does not count as occupied.
        """
        engine_ids = [key for key in self._deployment.servers_by_id if key[0] == "e"]
        server_id = self._random_state.choice(engine_ids)
        program = self._deployment.servers_by_id[server_id]

        async def fill():
            incarnation = program.incarnation
            program.signal(FULL_SIGNAL)
            await curio.sleep(self._draw_duration(_FULL_TIME_S))
            if program.incarnation == incarnation:
                program.signal(FULL_SIGNAL)

        await self._run_exclusively(f"full-{server_id}", fill, is_planned=True)

    # The store and the links to it and to servers.

    async def _pause_store(self):
        async def pause():
            self._deployment.store.pause()
            await curio.sleep(self._draw_duration(3.0))
            self._deployment.store.resume()

        await self._run_exclusively(_STORE_KEY, pause)

    async def _drop_history(self):
        started_at = time.monotonic()
        self._deployment.store.signal(signal.SIGUSR1)
        self._record_span(_STORE_KEY, started_at)

    async def _restore_store(self):
        async def restore():
            self._deployment.store.signal(signal.SIGUSR2)
            await curio.sleep(_RESTORE_TIME_S)

        await self._run_exclusively(_STORE_KEY, restore)

    async def _refuse_store(self):
        async def inject(proxy):
            await proxy.stop()
            await curio.sleep(self._draw_duration(3.0))
            await proxy.start()

        await self._inject_at_link(inject, only_store=True)

    async def _inject_at_link(self, inject, *, only_store=False):
        proxies = {
            f"link-{number}": self._deployment.store_proxies_by_daemon[program.name]
            for number, program in enumerate(self._deployment.daemons)
        }
        if not only_store:
            proxies |= self._deployment.proxies_by_server
        key = self._choose_unoccupied(proxies)
        await self._run_exclusively(key, lambda: inject(proxies[key]))

    async def _delay_link(self):
        async def inject(proxy):
            proxy.faults.delay_s = self._draw_duration(0.3)
            await curio.sleep(self._draw_duration(2.0))
            proxy.faults.delay_s = 0.0

        await self._inject_at_link(inject)

    async def _reset_link(self):
        await self._inject_at_link(lambda proxy: proxy.reset_connections())

    async def _silence_link(self):
        async def inject(proxy):
            proxy.silence_connections()

        await self._inject_at_link(inject)

    async def _cut_one_way(self):
        async def inject(proxy):
            direction = self._random_state.choice(("holds_up", "holds_down"))
            setattr(proxy.faults, direction, True)
            await curio.sleep(self._draw_duration(2.0))
            setattr(proxy.faults, direction, False)

        await self._inject_at_link(inject)

    # The operator.

    async def _change_configuration(self):
        async def change():
            version = self._callers.written_version + 1
            self._callers.written_version = version
            await self._deployment.write_document(make_versioned_document(version))
            self._callers.accepted_at_by_version[version] = time.monotonic()

        await self._run_exclusively("configuration", change, is_planned=True)
