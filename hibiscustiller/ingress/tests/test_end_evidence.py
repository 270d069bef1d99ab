"""Decisions on the ends of streams without framing."""

import sys
from dataclasses import replace
from datetime import timedelta

from hibiscustiller.ingress._end_evidence import (
    EndEvidence,
    UnframedEnd,
    judge_unframed_end,
)
from hibiscustiller.utils._testing import collect_tests

# A stream that another engine can go on with, and whose process runs.
END = UnframedEnd(
    events_left=5,
    is_running=True,
    is_confirmed=False,
    may_confirm=True,
    silent_for=timedelta(milliseconds=30),
    max_silence=timedelta(milliseconds=250),
)


def judge(**changes):
    return judge_unframed_end(replace(END, **changes))


# Guards against ends that count because the process runs, although others can tell.
def test_an_end_that_others_can_confirm_does_not_count_by_itself():
    assert judge() is EndEvidence.UNCONFIRMED
    assert judge(events_left=None) is EndEvidence.UNCONFIRMED
    assert not EndEvidence.UNCONFIRMED.is_end


# Guards against retries for streams that are certainly whole.
def test_an_end_counts_if_all_events_came_or_another_engine_agrees():
    for changes in ({"events_left": 0}, {"events_left": 0, "is_running": False}):
        assert judge(**changes) is EndEvidence.EVENT_LIMIT
    assert judge(is_confirmed=True) is EndEvidence.CONFIRMED
    assert EndEvidence.CONFIRMED.is_end and EndEvidence.EVENT_LIMIT.is_end


# Guards against ends of lost processes and of stalled pipelines that count.
def test_signs_of_a_break_are_no_end():
    assert judge(is_running=False) is EndEvidence.PROCESS_LOST
    assert judge(is_running=False, is_confirmed=True) is EndEvidence.PROCESS_LOST
    silent_for = timedelta(milliseconds=251)
    evidence = judge(may_confirm=False, silent_for=silent_for)
    assert evidence is EndEvidence.SILENT
    assert not EndEvidence.PROCESS_LOST.is_end and not EndEvidence.SILENT.is_end


# Guards against cuts of whole streams about which nothing else can tell.
def test_an_end_counts_if_nothing_else_can_tell_and_nothing_speaks_against_it():
    evidence = judge(may_confirm=False)
    assert evidence is EndEvidence.RUNNING and evidence.is_end


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
