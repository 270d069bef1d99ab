@0xb2f6c1a7d3e94508;
# Messages between routers. tools/generate.py writes
# hibiscustiller/wire/_messages_generated.py from this file.

struct Envelope {
  sender @0 :Text;
  union {
    hello @1 :Hello;
    helloProof @2 :HelloProof;
    heartbeat @3 :Heartbeat;
    configChange @4 :ConfigChange;
    configRequest @5 :ConfigRequest;
    configSnapshot @6 :ConfigSnapshot;
    usageReport @7 :UsageReport;
    usageTotals @8 :UsageTotals;
    crashReport @9 :CrashReport;
    backendSignal @10 :BackendSignal;
    leaving @11 :Leaving;
    memberDigests @12 :MemberDigests;
    memberEntries @13 :MemberEntries;
    loadReport @14 :LoadReport;
    followRequest @15 :FollowRequest;
    storeChanges @16 :StoreChanges;
    placeRequest @17 :PlaceRequest;
    placeAnswer @18 :PlaceAnswer;
    placeRelease @19 :PlaceRelease;
    placeHoldings @20 :PlaceHoldings;
    placeSummary @21 :PlaceSummary;
    repeatRequest @22 :RepeatRequest;
    repeatAnswer @23 :RepeatAnswer;
    storeSnapshot @24 :StoreSnapshot;
    crashedRequests @25 :CrashedRequests;
    crashedParts @26 :CrashedParts;
    rateRequest @27 :RateRequest;
    rateAnswer @28 :RateAnswer;
    namedLimits @29 :NamedLimits;
    placeRecall @30 :PlaceRecall;
  }
}

struct Hello {
  routerId @0 :Text;
  failureDomain @1 :Text;
  region @2 :Text;
  address @3 :Text;
  nonce @4 :Data;
  incarnation @5 :UInt64;
}

struct HelloProof {
  proof @0 :Data;
}

struct MemberState {
  routerId @0 :Text;
  failureDomain @1 :Text;
  region @2 :Text;
  address @3 :Text;
  incarnation @4 :UInt64;
  # 0 live, 1 suspected, 2 leaving.
  status @5 :UInt8;
}

struct Heartbeat {
  revision @0 :UInt64;
  confirmedAgeMs @1 :UInt32;
  membersDigest @2 :Data;
  members @3 :List(MemberState);
  # Whether the sender counts the receiver among its neighbours.
  isNeighbour @4 :Bool;
}

# Digests of the sender's live members, one for each bucket of router ids.
struct MemberDigests {
  digests @0 :List(UInt64);
}

# All the sender knows of the buckets in a bit set. The receiver sends back what it
# knows better if an answer is wanted.
struct MemberEntries {
  buckets @0 :UInt32;
  wantsAnswer @1 :Bool;
  members @2 :List(MemberState);
}

struct ConfigEdit {
  section @0 :Text;
  key @1 :Text;
  value @2 :Text;
  deleted @3 :Bool;
}

struct ConfigChange {
  fromRevision @0 :UInt64;
  toRevision @1 :UInt64;
  proposalId @2 :Text;
  team @3 :Text;
  acceptedAtMs @4 :UInt64;
  edits @5 :List(ConfigEdit);
  fingerprint @6 :Text;
  previousDigest @7 :Text;
  digest @8 :Text;
  # Written over a store that had lost data; the edits are empty.
  republished @9 :Bool;
  # The edits name only sections, because the change is too large for a message.
  trimmed @10 :Bool;
}

struct ConfigRequest {
  revision @0 :UInt64;
  digest @1 :Text;
}

# One change of the history that led to a snapshot.
struct ConfigPoint {
  revision @0 :UInt64;
  digest @1 :Text;
  proposalId @2 :Text;
  fingerprint @3 :Text;
  republished @4 :Bool;
}

struct ConfigSnapshot {
  revision @0 :UInt64;
  # INI text, compressed with zlib.
  document @1 :Data;
  digest @2 :Text;
  history @3 :List(ConfigPoint);
}

struct UsageEntry {
  organisation @0 :Text;
  className @1 :Text;
  tokens @2 :UInt64;
}

struct UsageReport {
  entries @0 :List(UsageEntry);
}

struct UsageTotals {
  entries @0 :List(UsageEntry);
}

struct CrashReport {
  fingerprint @0 :Text;
  serverId @1 :Text;
  event @2 :Text;
  atMs @3 :UInt64;
}

struct BackendSignal {
  serverId @0 :Text;
  state @1 :Text;
  atMs @2 :UInt64;
}

struct Leaving {
  routerId @0 :Text;
  incarnation @1 :UInt64;
}

# Requests in flight of one router at one backend server.
struct ServerUse {
  serverId @0 :Text;
  tokenLayers @1 :UInt64;
  entered @2 :UInt32;
}

# Sent as a datagram; a later report replaces an earlier one.
struct LoadReport {
  uses @0 :List(ServerUse);
  # Servers that the sender could not connect to.
  unreachable @1 :List(Text);
  # Servers that the sender takes to be leaving, since they refuse although not full.
  leaving @2 :List(Text);
  # Servers whose process has ended: their hosts refused a connection.
  dead @3 :List(DeadServer);
  # Whether the sender reaches no server at all.
  cutOff @4 :Bool;
}

# The end of a server under a request; times are ages when the message was made.
struct MetCrash {
  id @0 :UInt64;
  startedMs @1 :UInt64;
  endedMs @2 :UInt64;
  # When the process of the server is known to have run last; no later than its end.
  aliveMs @3 :UInt64;
}

# What the sender knows of a request under which servers have ended.
struct CrashedRequest {
  fingerprint @0 :Text;
  crashes @1 :List(MetCrash);
  # The latest whole answer to the request; an id of 0 if there was none.
  answerId @2 :UInt64;
  answeredMs @3 :UInt64;
}

# Sent as a datagram.
struct CrashedRequests {
  requests @0 :List(CrashedRequest);
  # Whether the sender has started, and asks for what the receiver knows.
  isAsking @1 :Bool;
}

# A crash of a server under requests that had not begun their answers; times are ages.
struct SuspectedCrash {
  # The same at all routers for one crash.
  id @0 :UInt64;
  sentMs @1 :UInt64;
  detectedMs @2 :UInt64;
  # Whether an answer to a request with the part has begun after it.
  isCleared @3 :Bool;
  # Crashes that were known when such a request was sent.
  earlierIds @4 :List(UInt64);
}

# What the sender knows of a part of prompts under which servers have crashed.
struct CrashedPart {
  partId @0 :Text;
  # Place of the part in prompts; 0 for the first.
  position @1 :UInt8;
  crashes @2 :List(SuspectedCrash);
}

# Sent as a datagram.
struct CrashedParts {
  parts @0 :List(CrashedPart);
  # Whether the sender has started, and asks for what the receiver knows.
  isAsking @1 :Bool;
}

struct DeadServer {
  serverId @0 :Text;
  # Start of the process that has ended, in Unix milliseconds.
  born @1 :UInt64;
}

# Asks a router for the store's changes after a revision.
# Revisions of the store have an era, which counts its restores from a backup, and a
# number that is compared within the same era only.
struct FollowRequest {
  revision @0 :UInt64;
  era @1 :UInt64;
  # The time of the sender's host since its start, which the answer repeats; 0 from
  # earlier versions.
  sentMs @2 :UInt64;
}

struct StoreChange {
  key @0 :Text;
  revision @1 :UInt64;
  deleted @2 :Bool;
  # Compressed with zlib, except in a snapshot, which is compressed as a whole.
  value @3 :Data;
  # The value is the difference from that of this revision; 0 if it is whole.
  baseRevision @4 :UInt64;
  era @5 :UInt64;
  baseEra @6 :UInt64;
  # Whether nobody wrote it, but the store was restored to it.
  isRestored @7 :Bool;
  # Begins the SHA-256 digest of the whole value, which a difference from another base
  # would not give; empty if the value is whole, or from daemons of earlier versions.
  digest @8 :Data;
}

# The store's changes after one revision up to another.
struct StoreChanges {
  afterRevision @0 :UInt64;
  toRevision @1 :UInt64;
  # Whether the sender follows the store itself, and reaches it.
  following @2 :Bool;
  # Whether changes are missing, so that the receiver has to read the store.
  incomplete @3 :Bool;
  # Time since the end of the last outage of the store; 0 if the sender knows of none.
  storeReturnedMs @4 :UInt64;
  changes @5 :List(StoreChange);
  afterEra @6 :UInt64;
  toEra @7 :UInt64;
  # Time since the sender learnt of the present era; 0 if it knows no earlier one.
  eraAgeMs @8 :UInt64;
  # Version of the configuration in force; 0 if there is none.
  documentVersion @9 :UInt64;
  # Time since the beginning of that outage; 0 if the sender knows of none, or is of an
  # earlier version.
  outageBeganMs @10 :UInt64;
  # For how long the sender has reached the store without a failed call, and the time
  # since the store's last answer to it; 0 if there is none.
  reachedSinceMs @11 :UInt64;
  answeredMs @12 :UInt64;
  # The sentMs of the request that this answers; 0 if the changes are pushed.
  requestSentMs @13 :UInt64;
  # The time since the sender's state was last known to be that of the store, and that
  # state; 0 if it does not know, or is of an earlier version.
  currentMs @14 :UInt64;
  currentRevision @15 :UInt64;
  currentEra @16 :UInt64;
}

# A server's process that left, and the last update of its entry.
struct DepartedProcess {
  serverId @0 :Text;
  born @1 :UInt64;
  update @2 :UInt64;
}

# Every key of the store as the sender knows it, with whole values. The configuration is
# the one in force, which may be newer than that of a restored store.
struct StoreSnapshot {
  revision @0 :UInt64;
  changes @1 :List(StoreChange);
  era @2 :UInt64;
  departed @3 :List(DepartedProcess);
  eraAgeMs @4 :UInt64;
}

# Asks the router that gives out a failure domain's pipelines for a place in one.
struct PlaceRequest {
  # Chosen by the sender; a repeated request has the same one.
  placeId @0 :UInt64;
  service @1 :Text;
  domain @2 :Text;
  priority @3 :UInt8;
  organisation @4 :Text;
  tokens @5 :Float64;
  targetLatencyMs @6 :UInt32;
  # 0 if the route has none.
  longestGapMs @7 :UInt32;
  timeLeftMs @8 :UInt32;
  # Whether the request may wait for a place.
  mayWait @9 :Bool;
  # A stream that has begun; it may go beyond the usual limit. With mayWait it waits
  # before new requests, for timeLeftMs at most.
  isBegun @10 :Bool;
  # Servers that must not be used.
  excluded @11 :List(Text);
  # Whether the caller was refused before and comes again.
  isReturn @12 :Bool;
  # Whether the stream may be ended and resumed in the same answer.
  isResumable @13 :Bool;
  # Expected tokens of the answer, which ``tokens`` counts in part; 0 from a router that
  # does not tell.
  answerTokens @14 :Float64;
}

struct PlaceStage {
  serverId @0 :Text;
  first @1 :UInt16;
  end @2 :UInt16;
}

struct PlaceAnswer {
  placeId @0 :UInt64;
  # 0 placed, 1 waiting, 2 refused, 3 no room, 4 ask another router.
  status @1 :UInt8;
  stages @2 :List(PlaceStage);
  retryAfterMs @3 :UInt32;
}

struct PlaceRelease {
  placeId @0 :UInt64;
  # Tokens of the complete answer; 0 if it is not complete, or from a router that does not
  # tell.
  answerTokens @1 :Float64;
  # Servers that rejected the request for want of room.
  rejectedBy @2 :List(Text);
}

# Asks the holder of a place to end its stream there and to resume it later.
struct PlaceRecall {
  placeId @0 :UInt64;
}

struct HeldPlace {
  placeId @0 :UInt64;
  service @1 :Text;
  domain @2 :Text;
  tokens @3 :Float64;
  stages @4 :List(PlaceStage);
  # Recent pause between events, as the sender sees it; 0 if it has seen none.
  gapMs @5 :UInt32;
  priority @6 :UInt8;
  organisation @7 :Text;
  isResumable @8 :Bool;
  # Time since the place was granted.
  heldMs @9 :UInt32;
}

# All places of the sender in some domains' pipelines; places that are not listed have
# been returned.
struct PlaceHoldings {
  places @0 :List(HeldPlace);
}

# Room in the pipelines of a failure domain, told by the router that gives it out.
struct PlaceSummary {
  service @0 :Text;
  domain @1 :Text;
  freeTokens @2 :Float64;
  # One entry for each class with requests; none from a router that does not tell.
  waits @3 :List(ClassWait);
}

# Wait that a new request of a class has to expect.
struct ClassWait {
  priority @0 :UInt8;
  waitMs @1 :UInt32;
}

# Asks the coordinator of the fleet's retry budget for one retry.
struct RepeatRequest {
  requestId @0 :UInt64;
  service @1 :Text;
}

struct RepeatAnswer {
  requestId @0 :UInt64;
  granted @1 :Bool;
}

# The limit that a process of a backend server named, or that it names none any more;
# times are ages when the message was made.
struct NamedLimit {
  serverId @0 :Text;
  born @1 :UInt64;
  # Requests per second from all routers together; negative if it names none any more.
  perSecond @2 :Float64;
  # When it first named a limit, and when the statement was received.
  namedMs @3 :UInt64;
  observedMs @4 :UInt64;
}

# Sent as a datagram to the coordinators of the servers, and by them to all routers.
struct NamedLimits {
  limits @0 :List(NamedLimit);
}

# Asks the coordinator of a server's limit whether one request may be sent to it.
struct RateRequest {
  requestId @0 :UInt64;
  priority @1 :UInt8;
  limit @2 :NamedLimit;
}

struct RateAnswer {
  requestId @0 :UInt64;
  granted @1 :Bool;
  # Expected time until such a request is granted; 0 if this one is.
  waitMs @2 :UInt64;
}
