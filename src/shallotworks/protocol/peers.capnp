@0xc7f1a5d2b3e49860;
# Messages between the processes of one fleet. Fields may be added but never renumbered or removed,
# so that neighbouring releases can decode each other's messages.

struct Frame {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    heartbeat @2 :Heartbeat;
    entries @3 :Entries;
    entriesRequest @4 :EntriesRequest;
    snapshotRequest @5 :SnapshotRequest;
    snapshotPart @6 :SnapshotPart;
    goodbye @7 :Goodbye;
  }
}

struct Hello {
  lowestVersion @0 :UInt16;
  highestVersion @1 :UInt16;
  member @2 :MemberRecord;
  nonce @3 :Data;
}

struct Proof {
  digest @0 :Data;
}

struct MemberRecord {
  name @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  region @3 :Text;
  incarnation @4 :UInt64;
  version @5 :UInt32;
  relaySlot @6 :Int8 = -1;
  left @7 :Bool;
}

struct ServiceLoad {
  service @0 :Text;
  inFlight @1 :UInt32;
  waiting @2 :UInt32;
}

struct Heartbeat {
  revision @0 :UInt64;
  newestRevision @1 :UInt64;
  newestAgeMs @2 :UInt32;
  heard @3 :List(UInt32);
  records @4 :List(MemberRecord);
  loads @5 :List(ServiceLoad);
  question @6 :UInt32;
  answer @7 :UInt32;
  changeId @8 :Text;
}

struct Entries {
  entries @0 :List(Data);
}

struct EntriesRequest {
  after @0 :UInt64;
}

struct SnapshotRequest {
}

struct SnapshotPart {
  revision @0 :UInt64;
  index @1 :UInt16;
  count @2 :UInt16;
  data @3 :Data;
}

struct Goodbye {
  leaving @0 :Bool;
}
