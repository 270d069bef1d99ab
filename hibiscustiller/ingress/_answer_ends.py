"""Whether the process of an answer without framing still runs after its end.

The connection of a process that ends closes like that of a complete answer. That a new
connection is accepted proves nothing, since the kernel accepts it for a process that is
ending. Only an answer that the same process gives to a question asked afterwards proves
that it has not ended. A process that runs may still have broken the answer off.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import curio

from hibiscustiller.exceptions import TransportError
from hibiscustiller.fleet import BackendServer
from hibiscustiller.utils import Clock, ServerId, log_event

# A pooled connection may be closed by its server just before the question.
_QUESTIONS = 2


@dataclass(eq=False)
class _Question:
    """A question to a server.

    :param asked_at: when it was asked, on the monotonic clock.
    :param is_running: whether the same process has answered.
    """

    asked_at: timedelta
    done: curio.Event = field(default_factory=curio.Event)
    is_running: bool = False


class AnswerEnds:
    """Asks servers whose answers have ended whether they still run.

    One question serves all answers that ended before it was asked.

    :param ask: asks a server, and returns whether the process that is known as this
        server has answered; raises TransportError without an answer.
    """

    def __init__(
        self, clock: Clock, ask: Callable[[BackendServer], Awaitable[bool]]
    ) -> None:
        self._clock = clock
        self._ask = ask
        self._questions: dict[tuple[ServerId, int], _Question] = {}

    async def is_running(self, server: BackendServer) -> bool:
        """Tell whether the process of an answer that has just ended still runs.

        :returns: False if the server does not answer, whatever the reason.
        """
        key, ended_at = (server.id, server.born), self._clock.monotonic()
        question = self._questions.get(key)
        while question is not None and question.asked_at < ended_at:
            await question.done.wait()
            question = self._questions.get(key)
        if question is None:
            question = self._questions[key] = _Question(self._clock.monotonic())
            # Others may wait for the outcome when this request is cancelled.
            await curio.spawn(self._run, key, server, question, daemon=True)
        await question.done.wait()
        return question.is_running

    async def _run(
        self, key: tuple[ServerId, int], server: BackendServer, question: _Question
    ) -> None:
        reason: object = "another process has answered"
        try:
            for _ in range(_QUESTIONS):
                try:
                    question.is_running = await self._ask(server)
                    break
                except TransportError as error:
                    reason = error
        finally:
            del self._questions[key]
            if not question.is_running:
                log_event(
                    "answer_end_not_proven",
                    level="warning",
                    server=server.id,
                    born=server.born,
                    took=self._clock.monotonic() - question.asked_at,
                    reason=reason,
                )
            await question.done.set()
