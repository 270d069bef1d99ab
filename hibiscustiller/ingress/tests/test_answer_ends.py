"""Ends of answers without framing, told from the ends of their servers."""

import sys

import curio

from hibiscustiller.exceptions import TransportError
from hibiscustiller.fleet import EMPTY_RANGE, BackendServer, ServerState
from hibiscustiller.ingress._answer_ends import AnswerEnds
from hibiscustiller.settings import Address
from hibiscustiller.utils import SystemClock, Verdict
from hibiscustiller.utils._testing import collect_tests

SERVER = BackendServer(
    id="s0",
    service="orders",
    address=Address("127.0.0.1", 1),
    domain="north",
    slots=1,
    state=ServerState.READY,
    layers=EMPTY_RANGE,
    born=1,
)
NO_ANSWER = TransportError("no answer", Verdict.MAY_HAVE_RUN)


class Process:
    """A process that answers each question when the test lets it.

    :param answers: outcomes of the questions in order; an error is raised.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.question_count = 0
        self.may_answer = curio.Event()

    async def ask(self, server):
        self.question_count += 1
        await self.may_answer.wait()
        self.may_answer.clear()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


async def wait_for_questions(process, count):
    async with curio.timeout_after(1.0):
        while process.question_count < count:
            await curio.sleep(0)


# Guards against an answer that counts as whole by a question that was asked before it
# ended, when its server still ran.
async def test_a_question_asked_before_the_end_proves_nothing():
    process = Process(True, NO_ANSWER, NO_ANSWER)
    ends = AnswerEnds(SystemClock(), process.ask)
    first = await curio.spawn(ends.is_running, SERVER)
    await wait_for_questions(process, 1)
    second = await curio.spawn(ends.is_running, SERVER)
    for count in (2, 3):
        await process.may_answer.set()
        await wait_for_questions(process, count)
    await process.may_answer.set()
    assert await first.join() is True
    assert await second.join() is False


# Guards against a question for each of many answers that end at the same time.
async def test_one_question_serves_all_answers_that_ended_before_it():
    process = Process(True, True)
    ends = AnswerEnds(SystemClock(), process.ask)
    first = await curio.spawn(ends.is_running, SERVER)
    await wait_for_questions(process, 1)
    others = [await curio.spawn(ends.is_running, SERVER) for _ in range(20)]
    await process.may_answer.set()
    await wait_for_questions(process, 2)
    await process.may_answer.set()
    assert all([await task.join() for task in [first, *others]])
    assert process.question_count == 2


# Guards against answers that wait without end after the caller of the one that asked
# has left.
async def test_a_question_outlives_the_request_that_asked_it():
    process = Process(True)
    ends = AnswerEnds(SystemClock(), process.ask)
    first = await curio.spawn(ends.is_running, SERVER)
    await wait_for_questions(process, 1)
    await first.cancel()
    await process.may_answer.set()
    async with curio.timeout_after(1.0):
        while ends._questions:
            await curio.sleep(0)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
