"""Requests for a model's answer, and their state across attempts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

from hibiscustiller.routing import Route
from hibiscustiller.utils import (
    ClassName,
    ModelName,
    OrganisationId,
    RequestId,
    ServerId,
)

Deliver = Callable[[str], Awaitable[None]]


@dataclass(frozen=True)
class StreamRequest:
    """A request for a model's answer.

    :param rank: rank of its priority class; 0 is the most urgent.
    :param max_tokens: length of the answer, in tokens.
    :param first_token_target: its class's target for the first token.
    :param deadline: its class's longest wait for the first token.
    :param is_idempotent: whether it may run again after an attempt that may have run.
    """

    request_id: RequestId
    organisation: OrganisationId
    class_name: ClassName
    rank: int
    model: ModelName
    prompt: str
    max_tokens: int
    is_idempotent: bool = True
    first_token_target: timedelta = timedelta(milliseconds=850)
    deadline: timedelta = timedelta(seconds=30)

    @property
    def prompt_tokens(self) -> int:
        """Estimated tokens of the prompt."""
        return self.prompt.count(" ") + 1

    @property
    def cost(self) -> int:
        """Estimated tokens, prompt and answer."""
        return self.prompt_tokens + self.max_tokens


@dataclass(frozen=True)
class StreamSummary:
    """What a complete stream took.

    :param tokens: the whole answer.
    :param attempts: attempts that were started.
    """

    tokens: tuple[str, ...]
    finish_reason: str
    attempts: int


@dataclass
class Progress:
    """State of one stream across its attempts.

    :param deadline_at: when the answer must have begun, by the monotonic clock.
    :param attempt: number of the latest attempt; the first is 1.
    :param may_have_run: whether any attempt may have run.
    :param has_attempt_run: whether the latest attempt may have run.
    :param failures: attempts in a row that brought no token.
    :param last_route: route of the latest attempt.
    :param avoided_until: when each server that failed may be tried again.
    """

    deadline_at: timedelta
    attempt: int = 0
    tokens: list[str] = field(default_factory=list)
    finish_reason: str = ""
    may_have_run: bool = False
    has_attempt_run: bool = False
    failures: int = 0
    last_route: Route | None = None
    avoided_until: dict[ServerId, timedelta] = field(default_factory=dict)

    def start_attempt(self, route: Route) -> None:
        """Count a further attempt."""
        self.attempt += 1
        self.last_route = route
        self.has_attempt_run = False

    def note_may_have_run(self) -> None:
        """Note that the latest attempt may have run."""
        self.has_attempt_run = True
        self.may_have_run = True

    def is_expired(self, now: timedelta) -> bool:
        """Tell whether the deadline passed without any token."""
        return not self.tokens and now >= self.deadline_at

    def list_avoided(self, now: timedelta) -> frozenset[ServerId]:
        """Return the servers to avoid."""
        return frozenset(s for s, end in self.avoided_until.items() if end > now)
