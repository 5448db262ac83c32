# Messages between hosts: datagrams of the membership and the RPC interface. Generated code is committed:
# capnp compile -o c++ peer.capnp
@0xd7a76eb5917168c8;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("guavafield::wire");

struct Member {
  id @0 :Text;
  dataCentre @1 :Text;
  incarnation @2 :UInt64;
  revision @3 :UInt64;
  addressHigh @4 :UInt64;
  addressLow @5 :UInt64;
  refutation @6 :UInt32;
  port @7 :UInt16;
  state @8 :UInt8;
}

struct CrashRecord {
  fingerprint @0 :Data;
  remainingMs @1 :UInt32;
}

struct TeamDemand {
  team @0 :Text;
  tokensPerSecond @1 :Float32;
}

struct DemandReport {
  host @0 :Text;
  ageMs @1 :UInt32;
  teams @2 :List(TeamDemand);
}

struct Datagram {
  # A host drops datagrams of another format.
  format @0 :UInt8;
  kind @1 :UInt8;
  hasRevision @2 :Bool;
  probe @3 :UInt32;
  counter @4 :UInt64;
  recipient @5 :UInt64;
  revision @6 :UInt64;
  revisionAgeMs @7 :UInt32;
  targetPort @8 :UInt16;
  targetHigh @9 :UInt64;
  targetLow @10 :UInt64;
  targetTag @11 :UInt64;
  self @12 :Member;
  updates @13 :List(Member);
  withdrawals @14 :List(Text);
  crashes @15 :List(CrashRecord);
  demand @16 :List(DemandReport);
  cursor @17 :Text;
  report @18 :HostReport;
}

struct TableKnowledge {
  known @0 :Bool;
  ageMs @1 :UInt32;
  content @2 :UInt64;
  complete @3 :UInt64;
}

struct UpstreamWork {
  upstream @0 :UInt64;
  waitingTokens @1 :UInt32;
  running @2 :UInt32;
}

struct TeamCount {
  team @0 :UInt64;
  requests @1 :UInt32;
}

struct WindowCounts {
  window @0 :UInt64;
  teams @1 :List(TeamCount);
}

struct BrokenRequest {
  number @0 :UInt64;
  fingerprint @1 :Data;
}

struct Address {
  high @0 :UInt64;
  low @1 :UInt64;
  port @2 :UInt16;
}

struct Row {
  key @0 :Text;
  version @1 :UInt64;
  removed @2 :Bool;
  value @3 :Data;
}

struct HostReport {
  wallMicroseconds @0 :Int64;
  document @1 :TableKnowledge;
  upstreams @2 :TableKnowledge;
  work @3 :List(UpstreamWork);
  windows @4 :List(WindowCounts);
  # Only of earlier versions.
  broken @5 :List(BrokenRequest);
  reportedUpTo @6 :UInt64;
  changesAfter @7 :UInt64;
  changes @8 :List(Row);
  changesOnly @9 :Bool;
  withoutPlatform @10 :Bool;
  slowLink @11 :Bool;
  relayTo @12 :List(Address);
  dutyFence @13 :UInt64;
  engineDemand @14 :List(EngineDemand);
  crashes @15 :List(CrashObservation);
  # Only of earlier versions.
  begins @16 :List(FeatureAge);
  verdicts @17 :List(Verdict);
  # The report contains crashes or rate limits only.
  crashesOnly @18 :Bool;
  rateLimits @19 :List(RateLimit);
  reportSentUpTo @20 :UInt64;
  survivals @21 :List(FeatureAge);
  # Port at which the sender takes requests that other hosts relay; 0 if it takes none.
  callerPort @22 :UInt16;
  # Hashes of the ids of pools of which the sender reaches no upstream.
  unreachablePools @23 :List(UInt64);
}

# What an answer said of its upstream's rate limit, for all hosts together; infinite if the limit has ended.
struct RateLimit {
  upstream @0 :UInt64;
  incarnation @1 :UInt64;
  perSecond @2 :Float64;
  ageMs @3 :UInt32;
}

# A request whose answer an upstream had not begun, or had just begun, when it crashed.
struct CrashSuspect {
  request @0 :UInt64;
  parts @1 :List(UInt64);
  answerBegan @2 :Bool;
}

struct CrashObservation {
  upstream @0 :UInt64;
  incarnation @1 :UInt64;
  ageMs @2 :UInt32;
  suspects @3 :List(CrashSuspect);
}

# Something that was seen of a part or a request, and how long ago.
struct FeatureAge {
  feature @0 :UInt64;
  ageMs @1 :UInt32;
}

# Features of which requests are refused that hold all of them. Hosts of earlier versions read the first feature alone.
struct Verdict {
  feature @0 :UInt64;
  ageMs @1 :UInt32;
  otherFeatures @2 :List(UInt64);
}

# Engine time that recent requests of a pool needed, in milliseconds.
struct EngineDemand {
  pool @0 :UInt64;
  longMs @1 :UInt32;
  otherMs @2 :UInt32;
  sensitiveStreams @3 :UInt32;
}

# The only capability of a new connection. Both sides prove that they know the fleet secret.
interface Gate {
  challenge @0 (clientNonce :Data) -> (serverNonce :Data, proof :Data);
  open @1 (proof :Data) -> (peer :Peer);
}

# Payloads are texts whose form the configuration defines.
interface Peer {
  changes @0 (after :UInt64) -> (payload :Text);
  snapshot @1 () -> (payload :Text);
  status @2 () -> (payload :Text);
}
