"""The operators' interface: document, proposals, changes and report."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from hibiscustiller.configuration import (
    AuditTrail,
    ConfigurationSync,
    CurrentConfiguration,
    Difference,
    Proposal,
    ProposalRefusal,
    ProposalService,
    describe_entry,
    format_sections,
    owns_section,
)
from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.utils import (
    Metrics,
    Refusal,
    RefusalReason,
    Revision,
    RouterId,
    Verdict,
    log_event,
    violations_by_name,
)
from hibiscustiller.wire import (
    HttpRequest,
    Responder,
    describe_refusal,
    make_refusal_headers,
)

_SECTIONS_PREFIX = "/admin/sections/"
_MAX_LIMIT = 1000
_DEFAULT_LIMIT = 50
_MAX_HOURS = 168
_DEFAULT_HOURS = 24
# Bounds the answer; the full list of problems of a large document would be longer.
_MAX_PROBLEMS = 100
_OUTCOMES = ("all", "accepted", "refused")

_RETRY_AFTER = timedelta(seconds=5)
_UNAUTHENTICATED = Refusal(
    RefusalReason.UNAUTHENTICATED,
    Verdict.NOT_RUN,
    "the Authorization header carries no known team key",
)

ReportSection = Callable[[], Any]
_Handler = Callable[[HttpRequest, Responder], Awaitable["Refusal | None"]]


@dataclass(frozen=True)
class _ChangesQuery:
    limit: int
    hours: int
    outcome: str
    section: str | None


class AdministrationApi:
    """Answers operators. Every request needs a team's bearer key.

    :param router_id: this router.
    :param current: the configuration in force.
    :param sections_by_name: callables that each return a part of the report as a
        JSON value.
    """

    def __init__(
        self,
        router_id: RouterId,
        current: CurrentConfiguration,
        sync: ConfigurationSync,
        proposals: ProposalService,
        audit: AuditTrail,
        sections_by_name: Mapping[str, ReportSection],
        metrics: Metrics,
    ) -> None:
        self._router_id = router_id
        self._current = current
        self._sync = sync
        self._proposals = proposals
        self._audit = audit
        self._sections_by_name = sections_by_name
        self._metrics = metrics

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        found = self._find_handler(request)
        refusal = (
            found.err_value
            if isinstance(found, Err)
            else await found.ok_value(request, responder)
        )
        if refusal is None:
            return
        self._metrics.count(f"administration.refused.{refusal.reason.label}")
        log_event(
            "administration_refused",
            path=request.path[:200],
            reason=refusal.reason.label,
        )
        if not responder.is_started:
            await responder.send_refusal(refusal)

    def _find_handler(self, request: HttpRequest) -> Result[_Handler, Refusal]:
        method, handler = self._route(request.path)
        if handler is None:
            message = f"no such path: {request.path[:200]}"
            return Err(Refusal(RefusalReason.NOT_FOUND, Verdict.NOT_RUN, message))
        if request.method != method:
            return _refuse(f"{request.method} is not accepted here; use {method}")
        # A first document has no team yet; the proposal service checks its key.
        is_first = method == "POST" and self._current.revision == 0
        if not is_first and self._proposals.find_team(read_key(request)) is None:
            return Err(_UNAUTHENTICATED)
        return Ok(handler)

    def _route(self, path: str) -> tuple[str, _Handler | None]:
        if path.startswith(_SECTIONS_PREFIX):
            return "GET", self._send_section
        routes: dict[str, tuple[str, _Handler]] = {
            "/admin/document": ("GET", self._send_document),
            "/admin/proposals": ("POST", self._take_proposal),
            "/admin/changes": ("GET", self._send_changes),
            "/admin/report": ("GET", self._send_report),
            "/admin/in-force": ("GET", self._send_in_force),
        }
        return routes.get(path, ("GET", None))

    async def _send_document(
        self, request: HttpRequest, responder: Responder
    ) -> Refusal | None:
        document = format_sections(self._current.sections)
        await responder.send_json(200, {**self._describe(), "document": document})
        return None

    async def _send_section(
        self, request: HttpRequest, responder: Responder
    ) -> Refusal | None:
        heading = request.path.removeprefix(_SECTIONS_PREFIX)
        values = self._current.sections.get(heading)
        if values is None:
            message = f"no section [{heading[:200]}] at {self._sync.revision}"
            return Refusal(RefusalReason.NOT_FOUND, Verdict.NOT_RUN, message)
        teams = self._current.config.teams_by_id.values()
        owners = sorted(team.name for team in teams if owns_section(team, heading))
        answer = {"heading": heading, "values": dict(values), "owners": owners}
        await responder.send_json(200, {**self._describe(), **answer})
        return None

    async def _take_proposal(
        self, request: HttpRequest, responder: Responder
    ) -> Refusal | None:
        read = read_proposal(request.body)
        if isinstance(read, Err):
            return read.err_value
        answer = await self._proposals.propose(read_key(request), read.ok_value)
        if isinstance(answer, Err):
            await _send_proposal_refusal(responder, answer.err_value)
            return answer.err_value.refusal
        acceptance = answer.ok_value
        await responder.send_json(
            200,
            {
                "proposal_id": read.ok_value.proposal_id,
                "outcome": "applied" if acceptance.is_applied else "valid",
                "revision": acceptance.revision,
                "repeated": acceptance.is_repeat,
            },
        )
        return None

    async def _send_changes(
        self, request: HttpRequest, responder: Responder
    ) -> Refusal | None:
        read = _read_changes_query(request.query_by_name)
        if isinstance(read, Err):
            return read.err_value
        query = read.ok_value
        entries = []
        try:
            if query.outcome != "refused":
                entries += await self._audit.list_accepted(query.limit, query.section)
            if query.outcome != "accepted":
                entries += await self._audit.list_refused(
                    query.limit, query.hours, query.section
                )
        except StoreUnavailableError as error:
            message = f"the audit trail cannot be read: {error}"
            return Refusal(
                RefusalReason.STORE_UNAVAILABLE, Verdict.NOT_RUN, message, _RETRY_AFTER
            )
        entries.sort(key=lambda entry: entry.at, reverse=True)
        changes = [describe_entry(entry) for entry in entries[: query.limit]]
        await responder.send_json(200, {**self._describe(), "changes": changes})
        return None

    async def _send_report(
        self, request: HttpRequest, responder: Responder
    ) -> Refusal | None:
        await responder.send_json(200, self.make_report())
        return None

    async def _send_in_force(
        self, request: HttpRequest, responder: Responder
    ) -> Refusal | None:
        await responder.send_json(200, self._describe())
        return None

    def make_report(self) -> dict[str, Any]:
        """Return the report; a part that fails is replaced by its error."""
        report: dict[str, Any] = {
            "configuration": self._describe(),
            "fleet": self._count_sections(),
            "refusals": self._count_refusals(),
            "store": {"is_up": self._sync.is_store_up},
            "invariant_violations": dict(violations_by_name),
        }
        for name, make in self._sections_by_name.items():
            try:
                report[name] = make()
            except Exception as error:
                # The other parts matter most when one of them is broken.
                log_event("report_failed", level="error", part=name, error=repr(error))
                report[name] = {"error": type(error).__name__}
        return report

    def _describe(self) -> dict[str, Any]:
        age = self._sync.confirmed_age()
        return {
            "router": self._router_id,
            "revision": self._sync.revision,
            "digest": self._sync.digest,
            "confirmed_age_s": None if age is None else round(age.total_seconds(), 3),
            "is_stale": self._sync.is_stale(),
            "is_ready": self._sync.is_ready(),
        }

    def _count_sections(self) -> dict[str, int]:
        config = self._current.config
        return {
            "models": len(config.models_by_name),
            "classes": len(config.classes_by_name),
            "organisations": len(config.organisations_by_id),
            "servers": len(config.servers_by_id),
            "services": len(config.services_by_name),
            "teams": len(config.teams_by_id),
        }

    def _count_refusals(self) -> dict[str, int]:
        prefix = "requests.refused."
        totals = self._metrics.totals_by_name
        return {
            name.removeprefix(prefix): count
            for name, count in sorted(totals.items())
            if name.startswith(prefix)
        }


def read_key(request: HttpRequest) -> str:
    """Return a request's bearer key; empty if there is none."""
    scheme, _, key = request.headers_by_name.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def read_proposal(body: bytes) -> Result[Proposal, Refusal]:
    """Read a proposal from a request's JSON body."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return _refuse("the body is not valid JSON")
    if not isinstance(value, dict):
        return _refuse("the body must be a JSON object")
    unknown = value.keys() - _PROPOSAL_FIELDS
    if unknown:
        found = ", ".join(sorted(unknown))[:200]
        accepted = ", ".join(sorted(_PROPOSAL_FIELDS))
        return _refuse(f"unknown fields {found}; accepted are {accepted}")
    proposal_id = value.get("proposal_id")
    if not isinstance(proposal_id, str):
        return _refuse("proposal_id must be a text")
    base = value.get("base_revision")
    if not isinstance(base, int) or isinstance(base, bool):
        return _refuse("base_revision must be a whole number")
    is_check_only = value.get("check_only", False)
    if not isinstance(is_check_only, bool):
        return _refuse("check_only must be true or false")
    difference = _read_difference(value.get("changes"))
    if difference is None:
        return _refuse(
            "changes must be an object of section headings; each value is null to"
            " remove the section, or an object of texts, with null to remove a key"
        )
    return Ok(Proposal(proposal_id, Revision(base), difference, is_check_only))


_PROPOSAL_FIELDS = frozenset({"proposal_id", "base_revision", "changes", "check_only"})


def _read_difference(value: Any) -> Difference | None:
    if not isinstance(value, dict):
        return None
    for edits in value.values():
        if edits is None:
            continue
        if not isinstance(edits, dict):
            return None
        if not all(item is None or isinstance(item, str) for item in edits.values()):
            return None
    return value


async def _send_proposal_refusal(
    responder: Responder, refused: ProposalRefusal
) -> None:
    refusal = refused.refusal
    answer = {
        **describe_refusal(refusal),
        "current_revision": refused.current_revision,
        "problems": list(refused.problems[:_MAX_PROBLEMS]),
    }
    headers = make_refusal_headers(refusal)
    await responder.send_json(refusal.reason.status, answer, headers)


def _read_changes_query(query: Mapping[str, str]) -> Result[_ChangesQuery, Refusal]:
    limit = _read_number(query, "limit", _DEFAULT_LIMIT, _MAX_LIMIT)
    hours = _read_number(query, "hours", _DEFAULT_HOURS, _MAX_HOURS)
    for number in (limit, hours):
        if isinstance(number, Err):
            return number
    outcome = query.get("outcome", "all")
    if outcome not in _OUTCOMES:
        return _refuse(
            f"outcome is {outcome[:50]!r}; accepted are {', '.join(_OUTCOMES)}"
        )
    return Ok(
        _ChangesQuery(limit.ok_value, hours.ok_value, outcome, query.get("section"))
    )


def _read_number(
    query: Mapping[str, str], name: str, default: int, maximum: int
) -> Result[int, Refusal]:
    text = query.get(name, str(default))
    if not text.isdecimal() or len(text) > 9 or not 1 <= int(text) <= maximum:
        return _refuse(f"{name} is {text[:50]!r}; accepted range is 1 to {maximum}")
    return Ok(int(text))


def _refuse(message: str) -> Err[Refusal]:
    return Err(Refusal(RefusalReason.BAD_REQUEST, Verdict.NOT_RUN, message))
