"""Two routers restart in turn while servers leave; the third one is left alone."""

import os
import signal
import sys
import threading
import time
from http.client import HTTPConnection
from pathlib import Path

from clients import Call, Record, send_plain
from deployment import (
    ROOT,
    Deployment,
    Program,
    ask_status,
    choose_port,
    end_on_termination,
    make_document,
)

# With TROUBLE=0 the case runs without its disruption.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 4
CLIENTS = 6
SERVERS = 3
DRAIN_S = 2.0
GRACE_S = 8.0
# As in the site's roll_term.
GAP_S = 1.3
PAUSE_S = 0.1
DEADLINE_MS = 1500

is_over = threading.Event()
calls = []


def run_client(router, record):
    connection = None
    while not is_over.is_set():
        connection = connection or HTTPConnection("127.0.0.1", router.front)
        call = Call(router.name, "order")
        record.write(f"{call.id} order sent to {router.name}")
        path, body = "/confirm/load", b"load of turf"
        send_plain(call, 0, "POST", path, body, DEADLINE_MS, connection)
        record.write(f"{call.id} status {call.status} {call.error}")
        calls.append(call)
        if not call.is_complete or call.headers.get("connection") == "close":
            connection = None
        time.sleep(PAUSE_S)


def start_server(deployment, number):
    server_id, port = f"i-{number:04x}", choose_port()
    program = Program(
        server_id,
        [
            *(sys.executable, str(ROOT / "review/lib/leaving_server.py")),
            *(server_id, str(port)),
            *(str(deployment.store_port), str(deployment.record_path)),
        ],
        deployment.directory,
    )
    program.start()
    deployment.programs.append(program)
    return program


def restart(router, record):
    """Stop a router as the platform does, and start it again."""
    record.write(f"{router.name} gets SIGTERM")
    router.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + GRACE_S
    while router.is_running and time.monotonic() < deadline:
        time.sleep(0.02)
    router.kill()
    time.sleep(0.3)
    router.start()
    while ask_status(router.ready, "/ready") != 200:
        time.sleep(0.02)
    record.write(f"{router.name} is ready again")


def main():
    end_on_termination()
    record = Record(Path(__file__).with_name("record.txt"))
    deployment = Deployment()
    try:
        deployment.start_store()
        deployment.write("op/config", make_document())
        servers = [start_server(deployment, n) for n in range(SERVERS)]
        calm, first, second = (deployment.add_router(f"edge-{n}") for n in range(3))
        deployment.wait_until_ready()
        time.sleep(5)
        threads = [
            threading.Thread(target=run_client, args=(calm, record), daemon=True)
            for _ in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(3)
        for number in range(SERVERS, SERVERS + ROUNDS):
            restarts = []
            if IS_TROUBLED:
                for router in (first, second):
                    task = threading.Thread(target=restart, args=(router, record))
                    task.start()
                    restarts.append(task)
                    if router is first:
                        time.sleep(GAP_S)
                restarts[0].join()
            else:
                time.sleep(6)
            # The new server starts first; then the old one leaves.
            servers.append(start_server(deployment, number))
            time.sleep(0.6)
            servers.pop(0).send_signal(signal.SIGUSR1)
            for task in restarts:
                task.join()
            time.sleep(6)
        is_over.set()
        for thread in threads:
            thread.join(3)
        return check(deployment, record)
    finally:
        deployment.stop()


def check(deployment, record):
    calls_by_id = {call.id: call for call in calls}
    runs = deployment.read_runs()
    removed_at = {r["server"]: r["at"] for r in runs if r["event"] == "removed"}
    is_broken = False
    lost_count = 0
    for run in sorted(runs, key=lambda run: run["at"]):
        at = run["at"] - record.began_at
        text = f"{run['event']} {run.get('request', '')} at {run['server']}"
        since = run["at"] - removed_at.get(run["server"], run["at"])
        if run["event"] == "run" and since > DRAIN_S:
            is_broken = True
            status = calls_by_id[run["request"]].status
            lost_count += status != 200
            text += f", {since:.3f} s after its removal; the client got {status}"
        record.write(f"({at:.3f}) {text}")
    served = sum(call.status == 200 for call in calls)
    record.write(f"{served} of {len(calls)} orders were served")
    record.write(f"{lost_count} of those sent to servers that had left were lost")
    if len(removed_at) < ROUNDS or served < 100:
        return 2
    record.write("DRAIN is broken" if is_broken else "DRAIN held")
    return 1 if is_broken else 0


if __name__ == "__main__":
    try:
        code = main()
    except (RuntimeError, OSError) as error:
        print(error, file=sys.stderr)
        code = 2
    sys.exit(code)
