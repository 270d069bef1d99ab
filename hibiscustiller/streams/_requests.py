"""Requests for a model's answer and their state across attempts."""

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

    :param rank: rank of the priority class; 0 is the most urgent.
    :param max_tokens: maximum length of the answer, in tokens.
    :param first_token_target: target of the priority class for the time to first token.
    :param deadline: maximum time to first token of the priority class.
    :param is_idempotent: whether the request may run again after an attempt that may
        have run.
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
        """Estimated number of prompt tokens."""
        return self.prompt.count(" ") + 1

    @property
    def cost(self) -> int:
        """Estimated number of tokens of prompt and answer."""
        return self.prompt_tokens + self.max_tokens


@dataclass(frozen=True)
class StreamSummary:
    """Result of a complete stream.

    :param tokens: tokens of the complete answer.
    :param attempts: number of attempts that were started.
    """

    tokens: tuple[str, ...]
    finish_reason: str
    attempts: int


@dataclass
class Progress:
    """State of one stream across its attempts.

    :param deadline_at: time by which the first token must arrive, on the monotonic
        clock.
    :param attempt: number of the latest attempt; the first is 1.
    :param may_have_run: whether any attempt may have run.
    :param latest_may_have_run: whether the latest attempt may have run.
    :param failures: number of consecutive attempts without a token.
    :param last_route: route of the latest attempt.
    :param avoided_until: time from which each server that failed may be used again, on
        the monotonic clock.
    """

    deadline_at: timedelta
    attempt: int = 0
    tokens: list[str] = field(default_factory=list)
    finish_reason: str = ""
    may_have_run: bool = False
    latest_may_have_run: bool = False
    failures: int = 0
    last_route: Route | None = None
    avoided_until: dict[ServerId, timedelta] = field(default_factory=dict)

    def start_attempt(self, route: Route) -> None:
        """Begin a further attempt on a route."""
        self.attempt += 1
        self.last_route = route
        self.latest_may_have_run = False

    def mark_may_have_run(self) -> None:
        """Record that the latest attempt may have run."""
        self.latest_may_have_run = True
        self.may_have_run = True

    def is_expired(self, now: timedelta) -> bool:
        """Return whether the deadline has passed without any token."""
        return not self.tokens and now >= self.deadline_at

    def get_avoided_servers(self, now: timedelta) -> frozenset[ServerId]:
        """Return the servers that the next attempt must avoid."""
        return frozenset(
            server for server, end in self.avoided_until.items() if end > now
        )
