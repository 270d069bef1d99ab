"""Messages between routers, generated from ``schema/messages.capnp``."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from hibiscustiller.exceptions import WireFormatError
from hibiscustiller.wire._compression import compress
from hibiscustiller.wire._packing import read_words

_MIN_TRAVERSED_WORDS = 64
_SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))


@dataclass(frozen=True)
class Hello:
    """A ``Hello`` message."""

    router_id: str
    failure_domain: str
    region: str
    address: str
    nonce: bytes
    incarnation: int


def _write_Hello(builder: Any, message: Hello) -> None:
    builder.routerId = message.router_id
    builder.failureDomain = message.failure_domain
    builder.region = message.region
    builder.address = message.address
    builder.nonce = message.nonce
    builder.incarnation = message.incarnation


def _read_Hello(reader: Any) -> Hello:
    return Hello(
        router_id=reader.routerId,
        failure_domain=reader.failureDomain,
        region=reader.region,
        address=reader.address,
        nonce=bytes(reader.nonce),
        incarnation=reader.incarnation,
    )


@dataclass(frozen=True)
class HelloProof:
    """A ``HelloProof`` message."""

    proof: bytes


def _write_HelloProof(builder: Any, message: HelloProof) -> None:
    builder.proof = message.proof


def _read_HelloProof(reader: Any) -> HelloProof:
    return HelloProof(
        proof=bytes(reader.proof),
    )


@dataclass(frozen=True)
class MemberState:
    """A ``MemberState`` message."""

    router_id: str
    failure_domain: str
    region: str
    address: str
    incarnation: int
    status: int


def _write_MemberState(builder: Any, message: MemberState) -> None:
    builder.routerId = message.router_id
    builder.failureDomain = message.failure_domain
    builder.region = message.region
    builder.address = message.address
    builder.incarnation = message.incarnation
    builder.status = message.status


def _read_MemberState(reader: Any) -> MemberState:
    return MemberState(
        router_id=reader.routerId,
        failure_domain=reader.failureDomain,
        region=reader.region,
        address=reader.address,
        incarnation=reader.incarnation,
        status=reader.status,
    )


@dataclass(frozen=True)
class Heartbeat:
    """A ``Heartbeat`` message."""

    revision: int
    confirmed_age_ms: int
    members_digest: bytes
    members: tuple[MemberState, ...]
    is_neighbour: bool


def _write_Heartbeat(builder: Any, message: Heartbeat) -> None:
    builder.revision = message.revision
    builder.confirmedAgeMs = message.confirmed_age_ms
    builder.membersDigest = message.members_digest
    items = builder.init("members", len(message.members))
    for index, item in enumerate(message.members):
        _write_MemberState(items[index], item)
    builder.isNeighbour = message.is_neighbour


def _read_Heartbeat(reader: Any) -> Heartbeat:
    return Heartbeat(
        revision=reader.revision,
        confirmed_age_ms=reader.confirmedAgeMs,
        members_digest=bytes(reader.membersDigest),
        members=tuple(_read_MemberState(item) for item in reader.members),
        is_neighbour=reader.isNeighbour,
    )


@dataclass(frozen=True)
class MemberDigests:
    """A ``MemberDigests`` message."""

    digests: tuple[int, ...]


def _write_MemberDigests(builder: Any, message: MemberDigests) -> None:
    builder.digests = list(message.digests)


def _read_MemberDigests(reader: Any) -> MemberDigests:
    return MemberDigests(
        digests=tuple(reader.digests),
    )


@dataclass(frozen=True)
class MemberEntries:
    """A ``MemberEntries`` message."""

    buckets: int
    wants_answer: bool
    members: tuple[MemberState, ...]


def _write_MemberEntries(builder: Any, message: MemberEntries) -> None:
    builder.buckets = message.buckets
    builder.wantsAnswer = message.wants_answer
    items = builder.init("members", len(message.members))
    for index, item in enumerate(message.members):
        _write_MemberState(items[index], item)


def _read_MemberEntries(reader: Any) -> MemberEntries:
    return MemberEntries(
        buckets=reader.buckets,
        wants_answer=reader.wantsAnswer,
        members=tuple(_read_MemberState(item) for item in reader.members),
    )


@dataclass(frozen=True)
class ConfigEdit:
    """A ``ConfigEdit`` message."""

    section: str
    key: str
    value: str
    deleted: bool


def _write_ConfigEdit(builder: Any, message: ConfigEdit) -> None:
    builder.section = message.section
    builder.key = message.key
    builder.value = message.value
    builder.deleted = message.deleted


def _read_ConfigEdit(reader: Any) -> ConfigEdit:
    return ConfigEdit(
        section=reader.section,
        key=reader.key,
        value=reader.value,
        deleted=reader.deleted,
    )


@dataclass(frozen=True)
class ConfigChange:
    """A ``ConfigChange`` message."""

    from_revision: int
    to_revision: int
    proposal_id: str
    team: str
    accepted_at_ms: int
    edits: tuple[ConfigEdit, ...]
    fingerprint: str
    previous_digest: str
    digest: str
    republished: bool
    trimmed: bool


def _write_ConfigChange(builder: Any, message: ConfigChange) -> None:
    builder.fromRevision = message.from_revision
    builder.toRevision = message.to_revision
    builder.proposalId = message.proposal_id
    builder.team = message.team
    builder.acceptedAtMs = message.accepted_at_ms
    items = builder.init("edits", len(message.edits))
    for index, item in enumerate(message.edits):
        _write_ConfigEdit(items[index], item)
    builder.fingerprint = message.fingerprint
    builder.previousDigest = message.previous_digest
    builder.digest = message.digest
    builder.republished = message.republished
    builder.trimmed = message.trimmed


def _read_ConfigChange(reader: Any) -> ConfigChange:
    return ConfigChange(
        from_revision=reader.fromRevision,
        to_revision=reader.toRevision,
        proposal_id=reader.proposalId,
        team=reader.team,
        accepted_at_ms=reader.acceptedAtMs,
        edits=tuple(_read_ConfigEdit(item) for item in reader.edits),
        fingerprint=reader.fingerprint,
        previous_digest=reader.previousDigest,
        digest=reader.digest,
        republished=reader.republished,
        trimmed=reader.trimmed,
    )


@dataclass(frozen=True)
class ConfigRequest:
    """A ``ConfigRequest`` message."""

    revision: int
    digest: str


def _write_ConfigRequest(builder: Any, message: ConfigRequest) -> None:
    builder.revision = message.revision
    builder.digest = message.digest


def _read_ConfigRequest(reader: Any) -> ConfigRequest:
    return ConfigRequest(
        revision=reader.revision,
        digest=reader.digest,
    )


@dataclass(frozen=True)
class ConfigPoint:
    """A ``ConfigPoint`` message."""

    revision: int
    digest: str
    proposal_id: str
    fingerprint: str
    republished: bool


def _write_ConfigPoint(builder: Any, message: ConfigPoint) -> None:
    builder.revision = message.revision
    builder.digest = message.digest
    builder.proposalId = message.proposal_id
    builder.fingerprint = message.fingerprint
    builder.republished = message.republished


def _read_ConfigPoint(reader: Any) -> ConfigPoint:
    return ConfigPoint(
        revision=reader.revision,
        digest=reader.digest,
        proposal_id=reader.proposalId,
        fingerprint=reader.fingerprint,
        republished=reader.republished,
    )


@dataclass(frozen=True)
class ConfigSnapshot:
    """A ``ConfigSnapshot`` message."""

    revision: int
    document: bytes
    digest: str
    history: tuple[ConfigPoint, ...]


def _write_ConfigSnapshot(builder: Any, message: ConfigSnapshot) -> None:
    builder.revision = message.revision
    builder.document = message.document
    builder.digest = message.digest
    items = builder.init("history", len(message.history))
    for index, item in enumerate(message.history):
        _write_ConfigPoint(items[index], item)


def _read_ConfigSnapshot(reader: Any) -> ConfigSnapshot:
    return ConfigSnapshot(
        revision=reader.revision,
        document=bytes(reader.document),
        digest=reader.digest,
        history=tuple(_read_ConfigPoint(item) for item in reader.history),
    )


@dataclass(frozen=True)
class UsageEntry:
    """A ``UsageEntry`` message."""

    organisation: str
    class_name: str
    tokens: int


def _write_UsageEntry(builder: Any, message: UsageEntry) -> None:
    builder.organisation = message.organisation
    builder.className = message.class_name
    builder.tokens = message.tokens


def _read_UsageEntry(reader: Any) -> UsageEntry:
    return UsageEntry(
        organisation=reader.organisation,
        class_name=reader.className,
        tokens=reader.tokens,
    )


@dataclass(frozen=True)
class UsageReport:
    """A ``UsageReport`` message."""

    entries: tuple[UsageEntry, ...]


def _write_UsageReport(builder: Any, message: UsageReport) -> None:
    items = builder.init("entries", len(message.entries))
    for index, item in enumerate(message.entries):
        _write_UsageEntry(items[index], item)


def _read_UsageReport(reader: Any) -> UsageReport:
    return UsageReport(
        entries=tuple(_read_UsageEntry(item) for item in reader.entries),
    )


@dataclass(frozen=True)
class UsageTotals:
    """A ``UsageTotals`` message."""

    entries: tuple[UsageEntry, ...]


def _write_UsageTotals(builder: Any, message: UsageTotals) -> None:
    items = builder.init("entries", len(message.entries))
    for index, item in enumerate(message.entries):
        _write_UsageEntry(items[index], item)


def _read_UsageTotals(reader: Any) -> UsageTotals:
    return UsageTotals(
        entries=tuple(_read_UsageEntry(item) for item in reader.entries),
    )


@dataclass(frozen=True)
class CrashReport:
    """A ``CrashReport`` message."""

    fingerprint: str
    server_id: str
    event: str
    at_ms: int


def _write_CrashReport(builder: Any, message: CrashReport) -> None:
    builder.fingerprint = message.fingerprint
    builder.serverId = message.server_id
    builder.event = message.event
    builder.atMs = message.at_ms


def _read_CrashReport(reader: Any) -> CrashReport:
    return CrashReport(
        fingerprint=reader.fingerprint,
        server_id=reader.serverId,
        event=reader.event,
        at_ms=reader.atMs,
    )


@dataclass(frozen=True)
class BackendSignal:
    """A ``BackendSignal`` message."""

    server_id: str
    state: str
    at_ms: int


def _write_BackendSignal(builder: Any, message: BackendSignal) -> None:
    builder.serverId = message.server_id
    builder.state = message.state
    builder.atMs = message.at_ms


def _read_BackendSignal(reader: Any) -> BackendSignal:
    return BackendSignal(
        server_id=reader.serverId,
        state=reader.state,
        at_ms=reader.atMs,
    )


@dataclass(frozen=True)
class Leaving:
    """A ``Leaving`` message."""

    router_id: str
    incarnation: int


def _write_Leaving(builder: Any, message: Leaving) -> None:
    builder.routerId = message.router_id
    builder.incarnation = message.incarnation


def _read_Leaving(reader: Any) -> Leaving:
    return Leaving(
        router_id=reader.routerId,
        incarnation=reader.incarnation,
    )


@dataclass(frozen=True)
class ServerUse:
    """A ``ServerUse`` message."""

    server_id: str
    token_layers: int
    entered: int


def _write_ServerUse(builder: Any, message: ServerUse) -> None:
    builder.serverId = message.server_id
    builder.tokenLayers = message.token_layers
    builder.entered = message.entered


def _read_ServerUse(reader: Any) -> ServerUse:
    return ServerUse(
        server_id=reader.serverId,
        token_layers=reader.tokenLayers,
        entered=reader.entered,
    )


@dataclass(frozen=True)
class DeadServer:
    """A ``DeadServer`` message."""

    server_id: str
    born: int


def _write_DeadServer(builder: Any, message: DeadServer) -> None:
    builder.serverId = message.server_id
    builder.born = message.born


def _read_DeadServer(reader: Any) -> DeadServer:
    return DeadServer(
        server_id=reader.serverId,
        born=reader.born,
    )


@dataclass(frozen=True)
class LoadReport:
    """A ``LoadReport`` message."""

    uses: tuple[ServerUse, ...]
    unreachable: tuple[str, ...]
    leaving: tuple[str, ...]
    dead: tuple[DeadServer, ...]
    cut_off: bool


def _write_LoadReport(builder: Any, message: LoadReport) -> None:
    items = builder.init("uses", len(message.uses))
    for index, item in enumerate(message.uses):
        _write_ServerUse(items[index], item)
    builder.unreachable = list(message.unreachable)
    builder.leaving = list(message.leaving)
    items = builder.init("dead", len(message.dead))
    for index, item in enumerate(message.dead):
        _write_DeadServer(items[index], item)
    builder.cutOff = message.cut_off


def _read_LoadReport(reader: Any) -> LoadReport:
    return LoadReport(
        uses=tuple(_read_ServerUse(item) for item in reader.uses),
        unreachable=tuple(reader.unreachable),
        leaving=tuple(reader.leaving),
        dead=tuple(_read_DeadServer(item) for item in reader.dead),
        cut_off=reader.cutOff,
    )


@dataclass(frozen=True)
class MetCrash:
    """A ``MetCrash`` message."""

    id: int
    started_ms: int
    ended_ms: int
    alive_ms: int


def _write_MetCrash(builder: Any, message: MetCrash) -> None:
    builder.id = message.id
    builder.startedMs = message.started_ms
    builder.endedMs = message.ended_ms
    builder.aliveMs = message.alive_ms


def _read_MetCrash(reader: Any) -> MetCrash:
    return MetCrash(
        id=reader.id,
        started_ms=reader.startedMs,
        ended_ms=reader.endedMs,
        alive_ms=reader.aliveMs,
    )


@dataclass(frozen=True)
class CrashedRequest:
    """A ``CrashedRequest`` message."""

    fingerprint: str
    crashes: tuple[MetCrash, ...]
    answer_id: int
    answered_ms: int


def _write_CrashedRequest(builder: Any, message: CrashedRequest) -> None:
    builder.fingerprint = message.fingerprint
    items = builder.init("crashes", len(message.crashes))
    for index, item in enumerate(message.crashes):
        _write_MetCrash(items[index], item)
    builder.answerId = message.answer_id
    builder.answeredMs = message.answered_ms


def _read_CrashedRequest(reader: Any) -> CrashedRequest:
    return CrashedRequest(
        fingerprint=reader.fingerprint,
        crashes=tuple(_read_MetCrash(item) for item in reader.crashes),
        answer_id=reader.answerId,
        answered_ms=reader.answeredMs,
    )


@dataclass(frozen=True)
class CrashedRequests:
    """A ``CrashedRequests`` message."""

    requests: tuple[CrashedRequest, ...]
    is_asking: bool


def _write_CrashedRequests(builder: Any, message: CrashedRequests) -> None:
    items = builder.init("requests", len(message.requests))
    for index, item in enumerate(message.requests):
        _write_CrashedRequest(items[index], item)
    builder.isAsking = message.is_asking


def _read_CrashedRequests(reader: Any) -> CrashedRequests:
    return CrashedRequests(
        requests=tuple(_read_CrashedRequest(item) for item in reader.requests),
        is_asking=reader.isAsking,
    )


@dataclass(frozen=True)
class SuspectedCrash:
    """A ``SuspectedCrash`` message."""

    id: int
    sent_ms: int
    detected_ms: int
    is_cleared: bool
    earlier_ids: tuple[int, ...]


def _write_SuspectedCrash(builder: Any, message: SuspectedCrash) -> None:
    builder.id = message.id
    builder.sentMs = message.sent_ms
    builder.detectedMs = message.detected_ms
    builder.isCleared = message.is_cleared
    builder.earlierIds = list(message.earlier_ids)


def _read_SuspectedCrash(reader: Any) -> SuspectedCrash:
    return SuspectedCrash(
        id=reader.id,
        sent_ms=reader.sentMs,
        detected_ms=reader.detectedMs,
        is_cleared=reader.isCleared,
        earlier_ids=tuple(reader.earlierIds),
    )


@dataclass(frozen=True)
class CrashedPart:
    """A ``CrashedPart`` message."""

    part_id: str
    position: int
    crashes: tuple[SuspectedCrash, ...]


def _write_CrashedPart(builder: Any, message: CrashedPart) -> None:
    builder.partId = message.part_id
    builder.position = message.position
    items = builder.init("crashes", len(message.crashes))
    for index, item in enumerate(message.crashes):
        _write_SuspectedCrash(items[index], item)


def _read_CrashedPart(reader: Any) -> CrashedPart:
    return CrashedPart(
        part_id=reader.partId,
        position=reader.position,
        crashes=tuple(_read_SuspectedCrash(item) for item in reader.crashes),
    )


@dataclass(frozen=True)
class CrashedParts:
    """A ``CrashedParts`` message."""

    parts: tuple[CrashedPart, ...]
    is_asking: bool


def _write_CrashedParts(builder: Any, message: CrashedParts) -> None:
    items = builder.init("parts", len(message.parts))
    for index, item in enumerate(message.parts):
        _write_CrashedPart(items[index], item)
    builder.isAsking = message.is_asking


def _read_CrashedParts(reader: Any) -> CrashedParts:
    return CrashedParts(
        parts=tuple(_read_CrashedPart(item) for item in reader.parts),
        is_asking=reader.isAsking,
    )


@dataclass(frozen=True)
class FollowRequest:
    """A ``FollowRequest`` message."""

    revision: int
    era: int
    sent_ms: int


def _write_FollowRequest(builder: Any, message: FollowRequest) -> None:
    builder.revision = message.revision
    builder.era = message.era
    builder.sentMs = message.sent_ms


def _read_FollowRequest(reader: Any) -> FollowRequest:
    return FollowRequest(
        revision=reader.revision,
        era=reader.era,
        sent_ms=reader.sentMs,
    )


@dataclass(frozen=True)
class StoreChange:
    """A ``StoreChange`` message."""

    key: str
    revision: int
    deleted: bool
    value: bytes
    base_revision: int
    era: int
    base_era: int
    is_restored: bool
    digest: bytes


def _write_StoreChange(builder: Any, message: StoreChange) -> None:
    builder.key = message.key
    builder.revision = message.revision
    builder.deleted = message.deleted
    builder.value = message.value
    builder.baseRevision = message.base_revision
    builder.era = message.era
    builder.baseEra = message.base_era
    builder.isRestored = message.is_restored
    builder.digest = message.digest


def _read_StoreChange(reader: Any) -> StoreChange:
    return StoreChange(
        key=reader.key,
        revision=reader.revision,
        deleted=reader.deleted,
        value=bytes(reader.value),
        base_revision=reader.baseRevision,
        era=reader.era,
        base_era=reader.baseEra,
        is_restored=reader.isRestored,
        digest=bytes(reader.digest),
    )


@dataclass(frozen=True)
class StoreChanges:
    """A ``StoreChanges`` message."""

    after_revision: int
    to_revision: int
    following: bool
    incomplete: bool
    store_returned_ms: int
    changes: tuple[StoreChange, ...]
    after_era: int
    to_era: int
    era_age_ms: int
    document_version: int
    outage_began_ms: int
    reached_since_ms: int
    answered_ms: int
    request_sent_ms: int
    current_ms: int
    current_revision: int
    current_era: int


def _write_StoreChanges(builder: Any, message: StoreChanges) -> None:
    builder.afterRevision = message.after_revision
    builder.toRevision = message.to_revision
    builder.following = message.following
    builder.incomplete = message.incomplete
    builder.storeReturnedMs = message.store_returned_ms
    items = builder.init("changes", len(message.changes))
    for index, item in enumerate(message.changes):
        _write_StoreChange(items[index], item)
    builder.afterEra = message.after_era
    builder.toEra = message.to_era
    builder.eraAgeMs = message.era_age_ms
    builder.documentVersion = message.document_version
    builder.outageBeganMs = message.outage_began_ms
    builder.reachedSinceMs = message.reached_since_ms
    builder.answeredMs = message.answered_ms
    builder.requestSentMs = message.request_sent_ms
    builder.currentMs = message.current_ms
    builder.currentRevision = message.current_revision
    builder.currentEra = message.current_era


def _read_StoreChanges(reader: Any) -> StoreChanges:
    return StoreChanges(
        after_revision=reader.afterRevision,
        to_revision=reader.toRevision,
        following=reader.following,
        incomplete=reader.incomplete,
        store_returned_ms=reader.storeReturnedMs,
        changes=tuple(_read_StoreChange(item) for item in reader.changes),
        after_era=reader.afterEra,
        to_era=reader.toEra,
        era_age_ms=reader.eraAgeMs,
        document_version=reader.documentVersion,
        outage_began_ms=reader.outageBeganMs,
        reached_since_ms=reader.reachedSinceMs,
        answered_ms=reader.answeredMs,
        request_sent_ms=reader.requestSentMs,
        current_ms=reader.currentMs,
        current_revision=reader.currentRevision,
        current_era=reader.currentEra,
    )


@dataclass(frozen=True)
class DepartedProcess:
    """A ``DepartedProcess`` message."""

    server_id: str
    born: int
    update: int


def _write_DepartedProcess(builder: Any, message: DepartedProcess) -> None:
    builder.serverId = message.server_id
    builder.born = message.born
    builder.update = message.update


def _read_DepartedProcess(reader: Any) -> DepartedProcess:
    return DepartedProcess(
        server_id=reader.serverId,
        born=reader.born,
        update=reader.update,
    )


@dataclass(frozen=True)
class StoreSnapshot:
    """A ``StoreSnapshot`` message."""

    revision: int
    changes: tuple[StoreChange, ...]
    era: int
    departed: tuple[DepartedProcess, ...]
    era_age_ms: int


def _write_StoreSnapshot(builder: Any, message: StoreSnapshot) -> None:
    builder.revision = message.revision
    items = builder.init("changes", len(message.changes))
    for index, item in enumerate(message.changes):
        _write_StoreChange(items[index], item)
    builder.era = message.era
    items = builder.init("departed", len(message.departed))
    for index, item in enumerate(message.departed):
        _write_DepartedProcess(items[index], item)
    builder.eraAgeMs = message.era_age_ms


def _read_StoreSnapshot(reader: Any) -> StoreSnapshot:
    return StoreSnapshot(
        revision=reader.revision,
        changes=tuple(_read_StoreChange(item) for item in reader.changes),
        era=reader.era,
        departed=tuple(_read_DepartedProcess(item) for item in reader.departed),
        era_age_ms=reader.eraAgeMs,
    )


@dataclass(frozen=True)
class PlaceRequest:
    """A ``PlaceRequest`` message."""

    place_id: int
    service: str
    domain: str
    priority: int
    organisation: str
    tokens: float
    target_latency_ms: int
    longest_gap_ms: int
    time_left_ms: int
    may_wait: bool
    is_begun: bool
    excluded: tuple[str, ...]
    is_return: bool
    is_resumable: bool
    answer_tokens: float


def _write_PlaceRequest(builder: Any, message: PlaceRequest) -> None:
    builder.placeId = message.place_id
    builder.service = message.service
    builder.domain = message.domain
    builder.priority = message.priority
    builder.organisation = message.organisation
    builder.tokens = message.tokens
    builder.targetLatencyMs = message.target_latency_ms
    builder.longestGapMs = message.longest_gap_ms
    builder.timeLeftMs = message.time_left_ms
    builder.mayWait = message.may_wait
    builder.isBegun = message.is_begun
    builder.excluded = list(message.excluded)
    builder.isReturn = message.is_return
    builder.isResumable = message.is_resumable
    builder.answerTokens = message.answer_tokens


def _read_PlaceRequest(reader: Any) -> PlaceRequest:
    return PlaceRequest(
        place_id=reader.placeId,
        service=reader.service,
        domain=reader.domain,
        priority=reader.priority,
        organisation=reader.organisation,
        tokens=reader.tokens,
        target_latency_ms=reader.targetLatencyMs,
        longest_gap_ms=reader.longestGapMs,
        time_left_ms=reader.timeLeftMs,
        may_wait=reader.mayWait,
        is_begun=reader.isBegun,
        excluded=tuple(reader.excluded),
        is_return=reader.isReturn,
        is_resumable=reader.isResumable,
        answer_tokens=reader.answerTokens,
    )


@dataclass(frozen=True)
class PlaceStage:
    """A ``PlaceStage`` message."""

    server_id: str
    first: int
    end: int


def _write_PlaceStage(builder: Any, message: PlaceStage) -> None:
    builder.serverId = message.server_id
    builder.first = message.first
    builder.end = message.end


def _read_PlaceStage(reader: Any) -> PlaceStage:
    return PlaceStage(
        server_id=reader.serverId,
        first=reader.first,
        end=reader.end,
    )


@dataclass(frozen=True)
class PlaceAnswer:
    """A ``PlaceAnswer`` message."""

    place_id: int
    status: int
    stages: tuple[PlaceStage, ...]
    retry_after_ms: int


def _write_PlaceAnswer(builder: Any, message: PlaceAnswer) -> None:
    builder.placeId = message.place_id
    builder.status = message.status
    items = builder.init("stages", len(message.stages))
    for index, item in enumerate(message.stages):
        _write_PlaceStage(items[index], item)
    builder.retryAfterMs = message.retry_after_ms


def _read_PlaceAnswer(reader: Any) -> PlaceAnswer:
    return PlaceAnswer(
        place_id=reader.placeId,
        status=reader.status,
        stages=tuple(_read_PlaceStage(item) for item in reader.stages),
        retry_after_ms=reader.retryAfterMs,
    )


@dataclass(frozen=True)
class PlaceRelease:
    """A ``PlaceRelease`` message."""

    place_id: int
    answer_tokens: float
    rejected_by: tuple[str, ...]


def _write_PlaceRelease(builder: Any, message: PlaceRelease) -> None:
    builder.placeId = message.place_id
    builder.answerTokens = message.answer_tokens
    builder.rejectedBy = list(message.rejected_by)


def _read_PlaceRelease(reader: Any) -> PlaceRelease:
    return PlaceRelease(
        place_id=reader.placeId,
        answer_tokens=reader.answerTokens,
        rejected_by=tuple(reader.rejectedBy),
    )


@dataclass(frozen=True)
class PlaceRecall:
    """A ``PlaceRecall`` message."""

    place_id: int


def _write_PlaceRecall(builder: Any, message: PlaceRecall) -> None:
    builder.placeId = message.place_id


def _read_PlaceRecall(reader: Any) -> PlaceRecall:
    return PlaceRecall(
        place_id=reader.placeId,
    )


@dataclass(frozen=True)
class HeldPlace:
    """A ``HeldPlace`` message."""

    place_id: int
    service: str
    domain: str
    tokens: float
    stages: tuple[PlaceStage, ...]
    gap_ms: int
    priority: int
    organisation: str
    is_resumable: bool
    held_ms: int


def _write_HeldPlace(builder: Any, message: HeldPlace) -> None:
    builder.placeId = message.place_id
    builder.service = message.service
    builder.domain = message.domain
    builder.tokens = message.tokens
    items = builder.init("stages", len(message.stages))
    for index, item in enumerate(message.stages):
        _write_PlaceStage(items[index], item)
    builder.gapMs = message.gap_ms
    builder.priority = message.priority
    builder.organisation = message.organisation
    builder.isResumable = message.is_resumable
    builder.heldMs = message.held_ms


def _read_HeldPlace(reader: Any) -> HeldPlace:
    return HeldPlace(
        place_id=reader.placeId,
        service=reader.service,
        domain=reader.domain,
        tokens=reader.tokens,
        stages=tuple(_read_PlaceStage(item) for item in reader.stages),
        gap_ms=reader.gapMs,
        priority=reader.priority,
        organisation=reader.organisation,
        is_resumable=reader.isResumable,
        held_ms=reader.heldMs,
    )


@dataclass(frozen=True)
class PlaceHoldings:
    """A ``PlaceHoldings`` message."""

    places: tuple[HeldPlace, ...]


def _write_PlaceHoldings(builder: Any, message: PlaceHoldings) -> None:
    items = builder.init("places", len(message.places))
    for index, item in enumerate(message.places):
        _write_HeldPlace(items[index], item)


def _read_PlaceHoldings(reader: Any) -> PlaceHoldings:
    return PlaceHoldings(
        places=tuple(_read_HeldPlace(item) for item in reader.places),
    )


@dataclass(frozen=True)
class ClassWait:
    """A ``ClassWait`` message."""

    priority: int
    wait_ms: int


def _write_ClassWait(builder: Any, message: ClassWait) -> None:
    builder.priority = message.priority
    builder.waitMs = message.wait_ms


def _read_ClassWait(reader: Any) -> ClassWait:
    return ClassWait(
        priority=reader.priority,
        wait_ms=reader.waitMs,
    )


@dataclass(frozen=True)
class PlaceSummary:
    """A ``PlaceSummary`` message."""

    service: str
    domain: str
    free_tokens: float
    waits: tuple[ClassWait, ...]


def _write_PlaceSummary(builder: Any, message: PlaceSummary) -> None:
    builder.service = message.service
    builder.domain = message.domain
    builder.freeTokens = message.free_tokens
    items = builder.init("waits", len(message.waits))
    for index, item in enumerate(message.waits):
        _write_ClassWait(items[index], item)


def _read_PlaceSummary(reader: Any) -> PlaceSummary:
    return PlaceSummary(
        service=reader.service,
        domain=reader.domain,
        free_tokens=reader.freeTokens,
        waits=tuple(_read_ClassWait(item) for item in reader.waits),
    )


@dataclass(frozen=True)
class RepeatRequest:
    """A ``RepeatRequest`` message."""

    request_id: int
    service: str


def _write_RepeatRequest(builder: Any, message: RepeatRequest) -> None:
    builder.requestId = message.request_id
    builder.service = message.service


def _read_RepeatRequest(reader: Any) -> RepeatRequest:
    return RepeatRequest(
        request_id=reader.requestId,
        service=reader.service,
    )


@dataclass(frozen=True)
class RepeatAnswer:
    """A ``RepeatAnswer`` message."""

    request_id: int
    granted: bool


def _write_RepeatAnswer(builder: Any, message: RepeatAnswer) -> None:
    builder.requestId = message.request_id
    builder.granted = message.granted


def _read_RepeatAnswer(reader: Any) -> RepeatAnswer:
    return RepeatAnswer(
        request_id=reader.requestId,
        granted=reader.granted,
    )


@dataclass(frozen=True)
class NamedLimit:
    """A ``NamedLimit`` message."""

    server_id: str
    born: int
    per_second: float
    named_ms: int
    observed_ms: int


def _write_NamedLimit(builder: Any, message: NamedLimit) -> None:
    builder.serverId = message.server_id
    builder.born = message.born
    builder.perSecond = message.per_second
    builder.namedMs = message.named_ms
    builder.observedMs = message.observed_ms


def _read_NamedLimit(reader: Any) -> NamedLimit:
    return NamedLimit(
        server_id=reader.serverId,
        born=reader.born,
        per_second=reader.perSecond,
        named_ms=reader.namedMs,
        observed_ms=reader.observedMs,
    )


@dataclass(frozen=True)
class NamedLimits:
    """A ``NamedLimits`` message."""

    limits: tuple[NamedLimit, ...]


def _write_NamedLimits(builder: Any, message: NamedLimits) -> None:
    items = builder.init("limits", len(message.limits))
    for index, item in enumerate(message.limits):
        _write_NamedLimit(items[index], item)


def _read_NamedLimits(reader: Any) -> NamedLimits:
    return NamedLimits(
        limits=tuple(_read_NamedLimit(item) for item in reader.limits),
    )


@dataclass(frozen=True)
class RateRequest:
    """A ``RateRequest`` message."""

    request_id: int
    priority: int
    limit: NamedLimit


def _write_RateRequest(builder: Any, message: RateRequest) -> None:
    builder.requestId = message.request_id
    builder.priority = message.priority
    _write_NamedLimit(builder.init("limit"), message.limit)


def _read_RateRequest(reader: Any) -> RateRequest:
    return RateRequest(
        request_id=reader.requestId,
        priority=reader.priority,
        limit=_read_NamedLimit(reader.limit),
    )


@dataclass(frozen=True)
class RateAnswer:
    """A ``RateAnswer`` message."""

    request_id: int
    granted: bool
    wait_ms: int


def _write_RateAnswer(builder: Any, message: RateAnswer) -> None:
    builder.requestId = message.request_id
    builder.granted = message.granted
    builder.waitMs = message.wait_ms


def _read_RateAnswer(reader: Any) -> RateAnswer:
    return RateAnswer(
        request_id=reader.requestId,
        granted=reader.granted,
        wait_ms=reader.waitMs,
    )


Message = (
    Hello
    | HelloProof
    | Heartbeat
    | ConfigChange
    | ConfigRequest
    | ConfigSnapshot
    | UsageReport
    | UsageTotals
    | CrashReport
    | BackendSignal
    | Leaving
    | MemberDigests
    | MemberEntries
    | LoadReport
    | FollowRequest
    | StoreChanges
    | PlaceRequest
    | PlaceAnswer
    | PlaceRelease
    | PlaceHoldings
    | PlaceSummary
    | RepeatRequest
    | RepeatAnswer
    | StoreSnapshot
    | CrashedRequests
    | CrashedParts
    | RateRequest
    | RateAnswer
    | NamedLimits
    | PlaceRecall
)

_WRITERS: dict[type, tuple[str, Any]] = {
    Hello: ("hello", _write_Hello),
    HelloProof: ("helloProof", _write_HelloProof),
    Heartbeat: ("heartbeat", _write_Heartbeat),
    ConfigChange: ("configChange", _write_ConfigChange),
    ConfigRequest: ("configRequest", _write_ConfigRequest),
    ConfigSnapshot: ("configSnapshot", _write_ConfigSnapshot),
    UsageReport: ("usageReport", _write_UsageReport),
    UsageTotals: ("usageTotals", _write_UsageTotals),
    CrashReport: ("crashReport", _write_CrashReport),
    BackendSignal: ("backendSignal", _write_BackendSignal),
    Leaving: ("leaving", _write_Leaving),
    MemberDigests: ("memberDigests", _write_MemberDigests),
    MemberEntries: ("memberEntries", _write_MemberEntries),
    LoadReport: ("loadReport", _write_LoadReport),
    FollowRequest: ("followRequest", _write_FollowRequest),
    StoreChanges: ("storeChanges", _write_StoreChanges),
    PlaceRequest: ("placeRequest", _write_PlaceRequest),
    PlaceAnswer: ("placeAnswer", _write_PlaceAnswer),
    PlaceRelease: ("placeRelease", _write_PlaceRelease),
    PlaceHoldings: ("placeHoldings", _write_PlaceHoldings),
    PlaceSummary: ("placeSummary", _write_PlaceSummary),
    RepeatRequest: ("repeatRequest", _write_RepeatRequest),
    RepeatAnswer: ("repeatAnswer", _write_RepeatAnswer),
    StoreSnapshot: ("storeSnapshot", _write_StoreSnapshot),
    CrashedRequests: ("crashedRequests", _write_CrashedRequests),
    CrashedParts: ("crashedParts", _write_CrashedParts),
    RateRequest: ("rateRequest", _write_RateRequest),
    RateAnswer: ("rateAnswer", _write_RateAnswer),
    NamedLimits: ("namedLimits", _write_NamedLimits),
    PlaceRecall: ("placeRecall", _write_PlaceRecall),
}
_READERS: dict[str, Any] = {
    "hello": _read_Hello,
    "helloProof": _read_HelloProof,
    "heartbeat": _read_Heartbeat,
    "configChange": _read_ConfigChange,
    "configRequest": _read_ConfigRequest,
    "configSnapshot": _read_ConfigSnapshot,
    "usageReport": _read_UsageReport,
    "usageTotals": _read_UsageTotals,
    "crashReport": _read_CrashReport,
    "backendSignal": _read_BackendSignal,
    "leaving": _read_Leaving,
    "memberDigests": _read_MemberDigests,
    "memberEntries": _read_MemberEntries,
    "loadReport": _read_LoadReport,
    "followRequest": _read_FollowRequest,
    "storeChanges": _read_StoreChanges,
    "placeRequest": _read_PlaceRequest,
    "placeAnswer": _read_PlaceAnswer,
    "placeRelease": _read_PlaceRelease,
    "placeHoldings": _read_PlaceHoldings,
    "placeSummary": _read_PlaceSummary,
    "repeatRequest": _read_RepeatRequest,
    "repeatAnswer": _read_RepeatAnswer,
    "storeSnapshot": _read_StoreSnapshot,
    "crashedRequests": _read_CrashedRequests,
    "crashedParts": _read_CrashedParts,
    "rateRequest": _read_RateRequest,
    "rateAnswer": _read_RateAnswer,
    "namedLimits": _read_NamedLimits,
    "placeRecall": _read_PlaceRecall,
}


def encode_message(
    sender: str, message: Message, *, is_compressed: bool = False
) -> bytes:
    """Encode a message.

    :param sender: id of the sending router.
    :param message: what is sent.
    :param is_compressed: whether zlib takes the place of the packed encoding. It is
        read several times faster, and adds some 20 bytes to the shortest messages.
    :returns: the encoded envelope.
    """
    envelope = _SCHEMA.Envelope.new_message()
    envelope.sender = sender
    name, write = _WRITERS[type(message)]
    write(envelope.init(name), message)
    return (
        compress(envelope.to_bytes()) if is_compressed else envelope.to_bytes_packed()
    )


def _get_traversal_limit(words: bytes) -> int:
    """Return how many words a reader may visit.

    A valid message is visited a few times over; a crafted one could point to the same
    or to empty elements millions of times.
    """
    return _MIN_TRAVERSED_WORDS + len(words)


def decode_message(data: bytes) -> tuple[str, Message]:
    """Decode a message.

    :param data: the encoded envelope.
    :returns: id of the sending router, and the message.
    :raises WireFormatError: if the bytes are no valid envelope.
    """
    words = read_words(data)
    try:
        with _SCHEMA.Envelope.from_bytes(
            words, traversal_limit_in_words=_get_traversal_limit(words)
        ) as envelope:
            name = envelope.which()
            return envelope.sender, _READERS[name](getattr(envelope, name))
    except (capnp.KjException, LookupError, ValueError, RecursionError) as error:
        # pycapnp adds a stack trace of its own after the first line.
        reason = (str(error).splitlines() or [type(error).__name__])[0]
        raise WireFormatError(f"message cannot be decoded: {reason}") from error
