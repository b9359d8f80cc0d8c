@0xb7d6f2a1c3e45908;
# Between the system's own processes. Framing: codec.hpp. A field once used keeps its number.
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gannethold::cluster::capnproto");

struct LogPosition { term @0 :UInt64; index @1 :UInt64; }
# One confirmed configuration number.
struct ConfirmedVersion { version @0 :UInt64; digest @1 :UInt64; index @2 :UInt64; }
# A log entry: on disk whole, between members as the difference to another one.
struct EntryRecord {
  position @0 :LogPosition; version @1 :UInt64; members @2 :List(Text); outgoingMembers @3 :List(Text);
  confirmed @4 :List(ConfirmedVersion); body @5 :Data;
}
# What a member has promised; only on disk.
struct PromiseRecord {
  member @0 :Bool; term @1 :UInt64; votedFor @2 :Text; noVoteThrough @3 :UInt64; preVotedThrough @4 :UInt64;
  lastLeader @5 :Text;
}
struct Delta { base @0 :UInt64; bytes @1 :Data; }
struct Runner {
  runner @0 :Text; service @1 :Text; address @2 :Text; zone @3 :Text; worker @4 :Text;
  slots @5 :UInt32; out @6 :UInt32; up @7 :Bool;
}
struct Load { service @0 :Text; count @1 :UInt32; busyMs @2 :UInt32; }
struct Out { runner @0 :UInt32; count @1 :UInt32; }
struct Envelope {
  from @0 :Text;   # only in the first message of a connection between core machines
  union {
    heartbeat @1 :Void;
    voteRequest :group { term @2 :UInt64; held @3 :LogPosition; preVote @4 :Bool; leaderHandsOver @64 :Bool; }
    voteResponse :group { term @5 :UInt64; granted @6 :Bool; preVote @7 :Bool; noVoteThrough @77 :UInt64; }
    appendRequest :group { term @8 :UInt64; round @9 :UInt64; head @10 :LogPosition; committed @11 :LogPosition; }
    entryChunk :group {
      term @12 :UInt64; round @13 :UInt64; position @14 :LogPosition; base @15 :LogPosition; offset @16 :UInt64;
      total @17 :UInt64; bytes @18 :Data;
    }
    appendResponse :group {
      term @19 :UInt64; round @21 :UInt64; held @22 :LogPosition; receiving @23 :LogPosition; received @24 :UInt64;
      leaving @81 :Bool;
    }
    recoveryRequest @20 :UInt64;
    recoveryResponse :group {
      nonce @25 :UInt64; term @26 :UInt64; leader @27 :Text; held @74 :LogPosition; members @75 :List(Text);
      outgoingMembers @76 :List(Text); preVotedThrough @80 :UInt64;
    }
    joinRequest @28 :Void;
    timeoutNow @29 :UInt64;
    leaveRequest @78 :Void;
    leaveResponse @79 :UInt64;
    register :group {
      name @30 :Text; zone @31 :Text; incarnation @32 :UInt64; version @33 :UInt64; holdings @34 :List(Runner); unrestricted @73 :List(Load);
    }
    redirect @35 :Text;
    registered :group { term @36 :UInt64; rank @37 :UInt32; fronts @38 :UInt32; members @39 :List(Text); }
    configurationSent :group { version @40 :UInt64; delta @41 :Delta; }
    configurationHeld @42 :UInt64;
    runnerTold :group { number @43 :UInt32; state @44 :UInt8; runner @45 :Runner; watch @46 :Bool; }
    acquireRequest :group {
      id @47 :UInt32; drawn @48 :UInt32; service @49 :Text; aimMs @50 :UInt32; deadlineMs @51 :UInt32;
      priority @52 :UInt8; shape @53 :UInt16; again @54 :Bool;
    }
    acquireGranted :group { id @55 :UInt32; runner @56 :UInt32; waited @71 :UInt8; }
    acquireDenied :group { id @57 :UInt32; retryMs @58 :UInt32; waited @72 :UInt8; }
    release :group { id @59 :UInt32; how @60 :UInt8; tookMs @61 :UInt32; runner @65 :UInt32; }
    runnerReachable :group { runner @62 :UInt32; up @63 :Bool; }
    mode :group { service @66 :Text; unrestricted @67 :Bool; }
    loadReport :group { spanMs @68 :UInt32; loads @69 :List(Load); }
    outstandingReport @70 :List(Out);
  }
}
