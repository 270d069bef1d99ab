"""Acceptance of changes to the document."""

from __future__ import annotations

import random
import re
from dataclasses import dataclass
from datetime import timedelta

import curio
from result import Err, Ok, Result

from hibiscustiller.configuration._audit import AuditTrail
from hibiscustiller.configuration._changes import (
    Change,
    Difference,
    apply_difference,
    compute_difference,
    fingerprint_proposal,
    seal_change,
)
from hibiscustiller.configuration._current import CurrentConfiguration
from hibiscustiller.configuration._document import (
    Sections,
    assemble_config,
    parse_headings,
)
from hibiscustiller.configuration._generated import TeamConfig
from hibiscustiller.configuration._head import (
    Head,
    HeadStore,
    StoredHead,
    extend_head,
)
from hibiscustiller.configuration._sync import ConfigurationSync
from hibiscustiller.configuration._validation import (
    MAX_DOCUMENT_BYTES,
    check_difference,
    check_document,
    owns_section,
)
from hibiscustiller.exceptions import SettingsError, StoreUnavailableError
from hibiscustiller.platform import KeyValueStore
from hibiscustiller.utils import (
    Clock,
    Metrics,
    Refusal,
    RefusalReason,
    Revision,
    TeamId,
    Verdict,
    check_invariant,
    hash_secret,
    jittered_delays,
    log_event,
)

_PROPOSAL_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
_REPUBLISH_PREFIX = "republish-"
# Rounds lost to other proposers before the proposal is refused. With 30 routers that
# propose at once one of them wins each round, so the rest get a Retry-After.
_MAX_ROUNDS = 8
# Failures of the store before the answer; more where a write may have taken effect,
# because reading it back spares the team an unknown outcome.
_MAX_FAILURES = 2
_MAX_DOUBTFUL_FAILURES = 4
# Proposals of one router that wait for their turn. During an outage each takes two
# timeouts of the store, and the last one must be answered within 30 s or so.
_MAX_WAITING = 8
_FIRST_DELAY = timedelta(milliseconds=20)
_LONGEST_DELAY = timedelta(milliseconds=500)
_RETRY_AFTER = timedelta(seconds=1)
_STORE_RETRY_AFTER = timedelta(seconds=5)
_MAX_LISTED = 20
_REPEAT_ADVICE = "repeat the same proposal id; it is never applied twice"


@dataclass(frozen=True)
class Proposal:
    """A change that a team asks for.

    :param proposal_id: chosen by the team; a repeat with the same id is recognised.
    :param base_revision: revision that the team has read.
    :param is_check_only: whether to check it without applying it.
    """

    proposal_id: str
    base_revision: Revision
    difference: Difference
    is_check_only: bool = False


@dataclass(frozen=True)
class Acceptance:
    """An accepted proposal.

    :param revision: revision that holds the change; for a check the present one.
    :param is_applied: false for a check.
    :param is_repeat: whether the proposal had been applied before this request.
    """

    revision: Revision
    is_applied: bool
    is_repeat: bool = False


@dataclass(frozen=True)
class ProposalRefusal:
    """A refused proposal.

    :param current_revision: revision in force here.
    :param problems: one line for each problem found.
    """

    refusal: Refusal
    current_revision: Revision
    problems: tuple[str, ...] = ()


class ProposalService:
    """Accepts or refuses proposals.

    :param current: the configuration in force.
    :param sync: keeps ``current`` up to date.
    :param audit: records refusals and keeps changes that leave the chain.
    """

    def __init__(
        self,
        current: CurrentConfiguration,
        sync: ConfigurationSync,
        store: KeyValueStore,
        audit: AuditTrail,
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
    ) -> None:
        self._current = current
        self._sync = sync
        self._head_store = HeadStore(store)
        self._audit = audit
        self._clock = clock
        self._random_state = random_state
        self._metrics = metrics
        self._lock = curio.Lock()
        self._waiting_count = 0

    def find_team(self, key: str) -> TeamConfig | None:
        """Return the team that a bearer key belongs to."""
        return self._current.config.teams_by_key_hash.get(hash_secret(key))

    async def propose(
        self, key: str, proposal: Proposal
    ) -> Result[Acceptance, ProposalRefusal]:
        """Check a proposal and apply it, unless it is a check only.

        :param key: the team's bearer key.
        """
        team = self.find_team(key) or self._find_first_team(key, proposal)
        if team is None:
            message = "the Authorization header carries no known team key"
            self._metrics.count("configuration.unauthenticated")
            return Err(self._refuse(RefusalReason.UNAUTHENTICATED, message))
        answer = await self._decide_in_turn(team, proposal)
        if isinstance(answer, Err):
            self._note_refused(team, proposal, answer.err_value)
        else:
            self._metrics.count("configuration.proposals_accepted")
        return answer

    async def _decide_in_turn(
        self, team: TeamConfig, proposal: Proposal
    ) -> Result[Acceptance, ProposalRefusal]:
        """Decide one proposal at a time; otherwise they lose swaps to each other."""
        if self._waiting_count >= _MAX_WAITING:
            message = f"{_MAX_WAITING} proposals are waiting here; {_REPEAT_ADVICE}"
            return Err(
                self._refuse(
                    RefusalReason.OVERLOADED, message, retry_after=_RETRY_AFTER
                )
            )
        self._waiting_count += 1
        try:
            async with self._lock:
                return await self._decide(team, proposal)
        finally:
            self._waiting_count -= 1

    async def _decide(
        self, team: TeamConfig, proposal: Proposal
    ) -> Result[Acceptance, ProposalRefusal]:
        refused = self._check_form(proposal)
        if refused is not None:
            return Err(refused)
        attempt = _Attempt(self, team, proposal)
        delays = jittered_delays(_FIRST_DELAY, _LONGEST_DELAY, self._random_state)
        for _ in range(_MAX_ROUNDS):
            try:
                answer = await attempt.run()
            except StoreUnavailableError as error:
                attempt.note_failure(error)
                answer = None
            if answer is not None:
                return answer
            if attempt.is_hopeless():
                break
            await self._clock.sleep(next(delays))
        return Err(attempt.give_up())

    def _check_form(self, proposal: Proposal) -> ProposalRefusal | None:
        proposal_id = proposal.proposal_id
        is_reserved = proposal_id.startswith(_REPUBLISH_PREFIX)
        if not _PROPOSAL_ID.fullmatch(proposal_id) or is_reserved:
            message = (
                f"proposal_id is {proposal_id[:80]!r}; accepted are 1 to 64 letters,"
                f" digits and ._:- that do not begin with {_REPUBLISH_PREFIX}"
            )
            return self._refuse(RefusalReason.BAD_REQUEST, message)
        if not proposal.difference:
            return self._refuse(RefusalReason.BAD_REQUEST, "changes is empty")
        if _measure_difference(proposal.difference) > MAX_DOCUMENT_BYTES:
            message = f"changes have more than {MAX_DOCUMENT_BYTES} bytes"
            return self._refuse(RefusalReason.TOO_LARGE, message)
        try:
            check_difference(proposal.difference)
        except SettingsError as error:
            return self._refuse_invalid(error)
        return None

    def _find_first_team(self, key: str, proposal: Proposal) -> TeamConfig | None:
        """Find the team of the first document in that document itself.

        While there is no document, there is no team that could authenticate. The
        first one may come from a team that owns all of its team sections.
        """
        if self._current.revision != 0:
            return None
        try:
            check_difference(proposal.difference)
            sections = apply_difference({}, proposal.difference)
            config = assemble_config(parse_headings(sections, {}))
        except SettingsError:
            return None
        team = config.teams_by_key_hash.get(hash_secret(key))
        headings = [f"team {name}" for name in config.teams_by_id]
        if team is None or not all(owns_section(team, item) for item in headings):
            return None
        return team

    def _refuse_invalid(self, error: SettingsError) -> ProposalRefusal:
        return self._refuse(
            RefusalReason.INVALID_CONFIGURATION,
            "; ".join(error.problems[:_MAX_LISTED]),
            problems=error.problems,
        )

    def _refuse(
        self,
        reason: RefusalReason,
        message: str,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after: timedelta | None = None,
        problems: tuple[str, ...] = (),
    ) -> ProposalRefusal:
        refusal = Refusal(reason, verdict, message, retry_after)
        return ProposalRefusal(refusal, self._current.revision, problems)

    def _note_refused(
        self, team: TeamConfig, proposal: Proposal, refused: ProposalRefusal
    ) -> None:
        reason = refused.refusal.reason.label
        self._metrics.count(f"configuration.proposals_refused.{reason}")
        log_event(
            "proposal_refused",
            team=team.name,
            proposal=proposal.proposal_id[:64],
            reason=reason,
            verdict=refused.refusal.verdict,
        )
        if not proposal.is_check_only:
            self._audit.note_refused(
                team.name,
                proposal.proposal_id[:64],
                proposal.base_revision,
                proposal.difference,
                reason,
                refused.refusal.message,
            )


class _Attempt:
    """One proposal's way to an answer, over several rounds.

    :param doubtful_revision: store revision that a swap without an answer expected;
        while the head still has it, that swap may yet take effect.
    """

    def __init__(
        self, service: ProposalService, team: TeamConfig, proposal: Proposal
    ) -> None:
        self._service = service
        self._team = team
        self._proposal = proposal
        self._fingerprint = fingerprint_proposal(team.name, proposal.difference)
        self._doubtful_revision: int | None = None
        self._is_doubtful = False
        self._failure: StoreUnavailableError | None = None
        self._failure_count = 0
        self._lag: str | None = None
        self._tried_revision = 0

    async def run(self) -> Result[Acceptance, ProposalRefusal] | None:
        """Try once; None asks for another round.

        :raises StoreUnavailableError: if the store gives no usable answer.
        """
        service = self._service
        stored = await service._sync.refresh()
        self._failure = None
        # A write without an answer cannot take effect once the head has moved on.
        if self._is_doubtful and stored.store_revision != self._doubtful_revision:
            self._is_doubtful = False
        known = self._find_repeat(stored.head)
        if known is not None:
            return known
        if self._is_behind(stored.head):
            return None
        checked = self._check(stored.head)
        if isinstance(checked, Err):
            return Err(checked.err_value)
        sections, difference = checked.ok_value
        if self._proposal.is_check_only:
            return Ok(Acceptance(service._current.revision, is_applied=False))
        if not difference:
            # Nothing would change, so nothing is written and the revision stays.
            return Ok(Acceptance(service._current.revision, is_applied=True))
        return await self._commit(stored, sections, difference)

    def note_failure(self, error: StoreUnavailableError) -> None:
        """Keep a failure of the store."""
        self._failure = error
        self._failure_count += 1

    def is_hopeless(self) -> bool:
        """Tell whether further rounds would only keep the team waiting."""
        limit = _MAX_DOUBTFUL_FAILURES if self._is_doubtful else _MAX_FAILURES
        return self._failure_count >= limit

    def give_up(self) -> ProposalRefusal:
        """Return the answer after the last round."""
        service = self._service
        if self._is_doubtful:
            message = (
                "the store gave no answer to the write, so the proposal may have been"
                f" applied; {_REPEAT_ADVICE}"
            )
            return service._refuse(
                RefusalReason.STORE_UNAVAILABLE,
                message,
                Verdict.MAY_HAVE_RUN,
                _STORE_RETRY_AFTER,
            )
        if self._failure is not None:
            message = (
                f"the store is unavailable ({self._failure}); this request applied"
                f" nothing; to try again, {_REPEAT_ADVICE}"
            )
            return service._refuse(
                RefusalReason.STORE_UNAVAILABLE,
                message,
                retry_after=_STORE_RETRY_AFTER,
            )
        if self._lag is not None:
            message = (
                f"{self._lag}; proposals are accepted once they agree; this request"
                f" applied nothing; to try again, {_REPEAT_ADVICE}"
            )
            return service._refuse(
                RefusalReason.STORE_UNAVAILABLE, message, retry_after=_RETRY_AFTER
            )
        message = (
            "other changes were accepted first; this request applied nothing;"
            f" to try again, {_REPEAT_ADVICE}"
        )
        return service._refuse(
            RefusalReason.OVERLOADED, message, retry_after=_RETRY_AFTER
        )

    def _find_repeat(self, head: Head) -> Result[Acceptance, ProposalRefusal] | None:
        point = head.find_proposal(self._proposal.proposal_id)
        if point is None:
            return None
        if point.fingerprint != self._fingerprint:
            message = (
                f"proposal_id {self._proposal.proposal_id!r} was used for another"
                f" change at revision {point.revision}; choose a new id"
            )
            return Err(self._service._refuse(RefusalReason.KEY_REUSED, message))
        is_own = self._tried_revision == point.revision
        return Ok(Acceptance(point.revision, is_applied=True, is_repeat=not is_own))

    def _is_behind(self, head: Head) -> bool:
        """Tell whether this router, the store and the peers do not agree yet."""
        sync = self._service._sync
        newest = sync.newest_peer_revision()
        is_equal = (head.revision, head.digest) == (sync.revision, sync.digest)
        if is_equal and newest <= sync.revision:
            self._lag = None
            return False
        self._lag = (
            f"this router holds revision {sync.revision}, the store {head.revision}"
            f" and a peer {newest}"
        )
        return True

    def _check(
        self, head: Head
    ) -> Result[tuple[Sections, Difference], ProposalRefusal]:
        service, proposal = self._service, self._proposal
        refused = self._check_owner() or self._check_base(head)
        if refused is not None:
            return Err(refused)
        old = service._current.sections
        new = apply_difference(old, proposal.difference)
        try:
            typed = parse_headings(new, service._current.get_typed_sections())
            check_document(new, assemble_config(typed))
        except SettingsError as error:
            return Err(service._refuse_invalid(error))
        return Ok((new, compute_difference(old, new)))

    def _check_owner(self) -> ProposalRefusal | None:
        """Check ownership by the document in force, not by the proposed one."""
        current = self._service._current
        if current.revision == 0:
            return None
        team = current.config.teams_by_id.get(self._team.name)
        if team is not None and team.key_sha256 != self._team.key_sha256:
            # The key was replaced after this request was authenticated.
            team = None
        foreign = [
            heading
            for heading in sorted(self._proposal.difference)
            if team is None or not owns_section(team, heading)
        ]
        if not foreign:
            return None
        listed = ", ".join(f"[{heading}]" for heading in foreign[:_MAX_LISTED])
        owns = ", ".join(team.owns) if team is not None else ""
        message = (
            f"team {self._team.name} does not own {listed}; accepted are sections"
            f" that match its owns patterns: {owns or '(none)'}"
        )
        return self._service._refuse(RefusalReason.FORBIDDEN, message)

    def _check_base(self, head: Head) -> ProposalRefusal | None:
        base, revision = self._proposal.base_revision, head.revision
        if base == revision:
            return None
        if not 0 <= base <= revision:
            message = (
                f"base_revision is {base}; accepted range is 0 to {revision},"
                " the current revision"
            )
            return self._service._refuse(RefusalReason.CONFLICT, message)
        conflicting = _find_conflicts(head, self._proposal)
        if conflicting is None:
            message = (
                f"base_revision {base} is too old to be merged; the current revision"
                f" is {revision}; read the document again"
            )
            return self._service._refuse(RefusalReason.CONFLICT, message)
        if not conflicting:
            return None
        listed = ", ".join(f"[{heading}]" for heading in conflicting[:_MAX_LISTED])
        message = (
            f"{listed} changed after base_revision {base}; the current revision is"
            f" {revision}; read the sections again"
        )
        return self._service._refuse(
            RefusalReason.CONFLICT,
            message,
            problems=tuple(f"section [{heading}] changed" for heading in conflicting),
        )

    async def _commit(
        self, stored: StoredHead, sections: Sections, difference: Difference
    ) -> Result[Acceptance, ProposalRefusal] | None:
        service = self._service
        change = self._make_change(stored.head, difference)
        extension = extend_head(
            stored.head, change, service._current.sections, sections
        )
        if extension.snapshot is not None:
            await service._head_store.write_snapshot(
                extension.head.snapshot, extension.snapshot
            )
        if extension.archived:
            await service._audit.archive(stored.head.segment_count, extension.archived)
        self._tried_revision = change.to_revision
        try:
            outcome = await service._head_store.swap_head(
                extension.head, stored.store_revision
            )
        except StoreUnavailableError as error:
            if error.verdict is Verdict.MAY_HAVE_RUN:
                self._is_doubtful = True
                self._doubtful_revision = stored.store_revision
            raise
        if not outcome.is_swapped:
            return None
        await service._sync.adopt(StoredHead(extension.head, outcome.revision))
        log_event(
            "proposal_accepted",
            team=self._team.name,
            proposal=self._proposal.proposal_id,
            revision=change.to_revision,
        )
        if extension.head.snapshot != stored.head.snapshot:
            await self._delete_snapshot(stored.head)
        return Ok(Acceptance(change.to_revision, is_applied=True))

    async def _delete_snapshot(self, head: Head) -> None:
        """Delete the snapshot that the head no longer refers to."""
        try:
            await self._service._head_store.delete_snapshot(head.snapshot)
        except StoreUnavailableError as error:
            # The change is accepted all the same; one old snapshot stays behind.
            log_event("snapshot_not_deleted", key=head.snapshot.key, error=error)

    def _make_change(self, head: Head, difference: Difference) -> Change:
        check_invariant(
            head.find_proposal(self._proposal.proposal_id) is None,
            "configuration_proposal_applied_once",
            proposal=self._proposal.proposal_id,
        )
        return seal_change(
            Change(
                from_revision=head.revision,
                to_revision=Revision(head.revision + 1),
                proposal_id=self._proposal.proposal_id,
                team=TeamId(self._team.name),
                accepted_at=self._service._clock.now(),
                fingerprint=self._fingerprint,
                difference=difference,
                previous_digest=head.digest,
            )
        )


def _find_conflicts(head: Head, proposal: Proposal) -> list[str] | None:
    """Return the sections changed since a proposal's base that it changes too.

    :returns: their headings; None if the chain does not reach back to the base.
    """
    later = [item for item in head.chain if item.to_revision > proposal.base_revision]
    is_known = bool(later) and later[0].from_revision <= proposal.base_revision
    # A trimmed change names only some of its sections, and a republished document may
    # have replaced changes that the team had read.
    if not is_known or any(item.is_trimmed or item.is_republished for item in later):
        return None
    changed = {heading for item in later for heading in item.difference}
    return sorted(changed.intersection(proposal.difference))


def _measure_difference(difference: Difference) -> int:
    return sum(
        len(heading)
        + sum(len(key) + len(value or "") for key, value in (edits or {}).items())
        for heading, edits in difference.items()
    )
