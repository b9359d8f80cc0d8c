@0xb7d6f2a1c3e45908;
# The cluster's own messages and stored records; messages.hpp documents their fields, frames.hpp their framing.
# A field once used keeps its ordinal and its type; its name may change.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gannethold::cluster::capnproto");

struct LogPosition { term @0 :UInt64; index @1 :UInt64; }
struct ConfirmedVersion { version @0 :UInt64; digest @1 :UInt64; index @2 :UInt64; }
# A log entry: complete on disk, and between controllers as the difference to a base entry.
struct EntryRecord {
  position @0 :LogPosition; version @1 :UInt64; members @2 :List(Text); outgoingMembers @3 :List(Text);
  confirmed @4 :List(ConfirmedVersion); body @5 :Data;
}
# Only on disk.
struct VotingStateRecord {
  isMember @0 :Bool; term @1 :UInt64; votedFor @2 :Text; noVoteThrough @3 :UInt64; preVotedThrough @4 :UInt64;
  lastLeader @5 :Text;
}
struct Delta { base @0 :UInt64; bytes @1 :Data; }
struct RunnerInfo {
  runnerId @0 :Text; service @1 :Text; address @2 :Text; zone @3 :Text; worker @4 :Text;
  slots @5 :UInt32; outstanding @6 :UInt32; reachable @7 :Bool;
}
struct FunctionLoad { service @0 :Text; requests @1 :UInt32; busyMs @2 :UInt32; }
struct OutstandingCount { runner @0 :UInt32; requests @1 :UInt32; }
struct Envelope {
  from @0 :Text;   # only in the first message of a connection between controllers
  union {
    heartbeat @1 :Void;
    voteRequest :group { term @2 :UInt64; lastEntry @3 :LogPosition; preVote @4 :Bool; leadershipTransfer @64 :Bool; }
    voteResponse :group { term @5 :UInt64; granted @6 :Bool; preVote @7 :Bool; noVoteThrough @77 :UInt64; }
    appendRequest :group { term @8 :UInt64; round @9 :UInt64; lastEntry @10 :LogPosition; committed @11 :LogPosition; }
    entryChunk :group {
      term @12 :UInt64; round @13 :UInt64; position @14 :LogPosition; base @15 :LogPosition; offset @16 :UInt64;
      totalBytes @17 :UInt64; bytes @18 :Data;
    }
    appendResponse :group {
      term @19 :UInt64; round @21 :UInt64; lastEntry @22 :LogPosition; receiving @23 :LogPosition;
      receivedBytes @24 :UInt64; leaving @81 :Bool;
    }
    recoveryRequest @20 :UInt64;
    recoveryResponse :group {
      nonce @25 :UInt64; term @26 :UInt64; leader @27 :Text; lastEntry @74 :LogPosition; members @75 :List(Text);
      outgoingMembers @76 :List(Text); preVotedThrough @80 :UInt64;
    }
    joinRequest @28 :Void;
    timeoutNow @29 :UInt64;
    leaveRequest @78 :Void;
    leaveResponse @79 :UInt64;
    registerRequest :group {
      name @30 :Text; zone @31 :Text; incarnation @32 :UInt64; configurationVersion @33 :UInt64;
      runners @34 :List(RunnerInfo); unrestricted @73 :List(FunctionLoad);
    }
    redirect @35 :Text;
    registerResponse :group { term @36 :UInt64; rank @37 :UInt32; proxies @38 :UInt32; members @39 :List(Text); }
    configurationUpdate :group { version @40 :UInt64; delta @41 :Delta; }
    configurationAck @42 :UInt64;
    runnerUpdate :group { number @43 :UInt32; state @44 :UInt8; runner @45 :RunnerInfo; watch @46 :Bool; }
    acquireRequest :group {
      id @47 :UInt32; preferredRunner @48 :UInt32; service @49 :Text; latencyTargetMs @50 :UInt32;
      deadlineMs @51 :UInt32; priority @52 :UInt8; requestClass @53 :UInt16; isRetry @54 :Bool;
    }
    acquireGranted :group { id @55 :UInt32; runner @56 :UInt32; waitReason @71 :UInt8; }
    acquireDenied :group { id @57 :UInt32; retryAfterMs @58 :UInt32; waitReason @72 :UInt8; }
    release :group { id @59 :UInt32; reason @60 :UInt8; durationMs @61 :UInt32; runner @65 :UInt32; }
    runnerReachable :group { runner @62 :UInt32; reachable @63 :Bool; }
    functionMode :group { service @66 :Text; unrestricted @67 :Bool; hasSpareSlots @82 :Bool; }
    loadReport :group { intervalMs @68 :UInt32; loads @69 :List(FunctionLoad); }
    outstandingReport @70 :List(OutstandingCount);
  }
}
