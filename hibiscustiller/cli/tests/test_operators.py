"""The operators' commands against a router over loopback."""

import json
import sys
import tempfile
from pathlib import Path

import curio
from click.testing import CliRunner

from hibiscustiller.cli import _operators as operators
from hibiscustiller.cli import main
from hibiscustiller.serving._administration import read_proposal
from hibiscustiller.serving.tests.test_administration import (
    make_router,
    start_bench,
    stop_bench,
)
from hibiscustiller.standins import TEAM_KEYS_BY_ID
from hibiscustiller.standins._platform import Backup
from hibiscustiller.utils import SystemClock
from hibiscustiller.utils._testing import collect_tests


async def invoke(bench, *arguments, team="tizas", address=None):
    """Run a command in a thread, because it runs a kernel of its own."""
    address = address or str(bench.router.configuration_parts.server.address)
    command, *rest = arguments
    words = [command, "--address", address, *rest]
    environment = {operators.KEY_VARIABLE: TEAM_KEYS_BY_ID.get(team, "wrong")}
    return await curio.run_in_thread(
        lambda: CliRunner().invoke(main, words, env=environment)
    )


async def test_edits_are_proposed_and_read_back():
    """Guards against commands that change another section or base than was meant."""
    bench = await start_bench()
    base = bench.router.configuration.revision
    section = ("--section", "organisation greens")
    done = await invoke(bench, "propose", *section, "weight=3", "models=turf-*")
    assert done.exit_code == 0, done.output
    assert f"applied at revision {base + 1}" in done.output
    shown = await invoke(bench, "document", *section)
    assert "weight = 3" in shown.output and "models = turf-*" in shown.output
    done = await invoke(bench, "propose", *section, "--remove", "models")
    assert done.exit_code == 0, done.output
    whole = await invoke(bench, "document")
    assert "models" not in whole.output and "[class quotes]" in whole.output
    listed = await invoke(bench, "changes", *section)
    assert "models=turf-*" in listed.output and "tizas" in listed.output
    listed = await invoke(bench, "changes", "--json", "--limit", "1")
    assert len(json.loads(listed.output)["changes"]) == 1
    in_force = await invoke(bench, "in-force", "--json")
    assert json.loads(in_force.output)["revision"] == base + 2
    await stop_bench(bench)


async def test_files_are_proposed_as_edits_or_as_the_whole_document():
    """Guards against a file of edits that deletes what it does not mention."""
    bench = await start_bench()
    base = bench.router.configuration.revision
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "edits.ini"
        path.write_text("[organisation greens]\nweight = 4\nmodels =\n  turf-*,\n  *\n")
        done = await invoke(bench, "propose", "--file", str(path))
        assert done.exit_code == 0, done.output
        whole = await invoke(bench, "document")
        assert "models = turf-*, *" in whole.output
        path.write_text(whole.output.replace("weight = 4", "weight = 5"))
        done = await invoke(
            bench, "propose", "--file", str(path), "--whole", "--check-only"
        )
        assert "nothing was applied" in done.output
        done = await invoke(bench, "propose", "--file", str(path), "--whole")
        assert f"applied at revision {base + 2}" in done.output, done.output
    changes = await invoke(bench, "changes", "--limit", "1", "--json")
    difference = json.loads(changes.output)["changes"][0]["difference"]
    assert difference == {"organisation greens": {"weight": "5"}}
    await stop_bench(bench)


async def test_first_document_is_set_up_by_command():
    """Guards against a new fleet that cannot be given its first document."""
    bench = await start_bench()
    document = (await invoke(bench, "document")).output
    await bench.router.stop()
    platform = bench.fleet.platform
    platform.restore_backup(Backup(1, {}, {}))
    bench.router = make_router(bench.fleet, SystemClock())
    await bench.router.start()
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "document.ini"
        path.write_text(document)
        words = ("propose", "--file", str(path), "--whole", "--base-revision", "0")
        foreign = await invoke(bench, *words, team="tizas")
        assert foreign.exit_code == operators.EXIT_REFUSED, foreign.output
        done = await invoke(bench, *words, team="carnbeg")
        assert done.exit_code == 0 and "revision 1" in done.output, done.output
    assert (await invoke(bench, "document")).output == document
    await stop_bench(bench)


async def test_refusals_have_an_exit_code_and_name_the_cause():
    """Guards against automation that takes a refusal for success."""
    bench = await start_bench()
    section = ("--section", "organisation greens")
    dead = "127.0.0.1:1"
    rows = [
        (["propose", *section, "weight=0"], {}, operators.EXIT_REFUSED, "0.01 to 1000"),
        (
            ["propose", "--section", "class quotes", "rank=7"],
            {},
            operators.EXIT_REFUSED,
            "does not own",
        ),
        (
            ["propose", "--delete", "organisation greens", "--base-revision", "0"],
            {},
            operators.EXIT_REFUSED,
            "current revision",
        ),
        (["propose", "weight=1"], {}, operators.EXIT_USAGE, "--section"),
        (["propose"], {}, operators.EXIT_USAGE, "nothing to change"),
        (["propose", *section, "weight"], {}, operators.EXIT_USAGE, "key=value"),
        (["propose", "--file", "none.ini"], {}, operators.EXIT_USAGE, "none.ini"),
        (["report"], {"team": "nobody"}, operators.EXIT_REFUSED, "unauthenticated"),
        (["report"], {"address": "host"}, operators.EXIT_USAGE, "IP:PORT"),
        (["report"], {"address": dead}, operators.EXIT_UNREACHABLE, "no router"),
        (
            ["propose", *section, "weight=2", "--base-revision", "1"],
            {"address": dead},
            operators.EXIT_UNREACHABLE,
            "nothing was applied",
        ),
    ]
    for arguments, options, code, word in rows:
        done = await invoke(bench, *arguments, **options)
        assert done.exit_code == code, (arguments, done.exit_code, done.output)
        assert word in done.output, (arguments, done.output)
    unset = await curio.run_in_thread(
        lambda: CliRunner().invoke(
            main, ["report", "--address", dead], env={operators.KEY_VARIABLE: ""}
        )
    )
    assert unset.exit_code == operators.EXIT_USAGE
    assert operators.KEY_VARIABLE in unset.output
    await stop_bench(bench)


async def test_lost_answer_is_repeated_and_applied_once():
    """Guards against a change that is applied twice by the command's repeat."""
    bench = await start_bench()
    base = bench.router.configuration.revision
    handle = bench.router.configuration_parts.server.handle
    lost = []

    async def lose_first_answer(request, responder):
        if request.method == "POST" and not lost:
            lost.append(request)
            await bench.router.configuration_parts.proposals.propose(
                TEAM_KEYS_BY_ID["tizas"], read_proposal(request.body).ok_value
            )
            return
        await handle(request, responder)

    bench.router.configuration_parts.server.handle = lose_first_answer
    done = await invoke(
        bench, "propose", "--section", "organisation greens", "weight=6"
    )
    assert done.exit_code == 0, done.output
    assert f"applied at revision {base + 1} (by an earlier attempt)" in done.output
    assert bench.router.configuration.revision == base + 1
    await stop_bench(bench)


async def test_report_is_a_readable_table():
    """Guards against a report that shows no revision or raises on odd parts."""
    report = {
        "rows": lambda: [{"name": "a", "value": 1}],
        "by_name": lambda: {"quotes": {"queued": 2}},
        "empty": dict,
        "number": lambda: 5,
    }
    bench = await start_bench(report)
    done = await invoke(bench, "report")
    assert done.exit_code == 0, done.output
    for word in ("configuration", "revision", "confirmed_age_s", "quotes", "queued"):
        assert word in done.output, done.output
    await stop_bench(bench)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
