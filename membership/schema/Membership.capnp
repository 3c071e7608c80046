@0xe0c1d0f5b8a34a21;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("persimmondoor::membership::wire");

struct EndpointOffer {
  endpoint @0 :Text;
  service @1 :Text;
  team @2 :Text;
  slots @3 :UInt32;
  connections @4 :UInt32;
}

struct Announcement {
  worker @0 :Text;
  domain @1 :Text;
  rack @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  rpcAddress @5 :Text;
  endpoints @6 :List(EndpointOffer);
  leaving @7 :Bool;
}

# A member of one entry's view, sent to another entry; a tombstone if it is not present.
struct Member {
  announcement @0 :Announcement;
  present @1 :Bool;
}

# The answer to an announcement or a keepalive.
struct Answer {
  # False if the entry needs the full announcement.
  known @0 :Bool;
  # Time until the next keepalive, in milliseconds.
  intervalMilliseconds @1 :UInt32;
  settings :union {
    upToDate @2 :Void;
    # Newer settings can be fetched from the entry itself.
    fetchHere @3 :Void;
    # Newer settings can be fetched from this address.
    fetchFrom @4 :Text;
    # Newer settings exist, but all sources of them are busy.
    askAgain @5 :Void;
  }
}

# Implemented by entries; called by agents and by other entries.
interface Membership {
  # settingsDigest is the digest of the settings that the agent has in force.
  announce @0 (announcement :Announcement, settingsDigest :UInt64) -> (answer :Answer);
  keepAlive @1 (worker :Text, incarnation :UInt64, sequence :UInt64, settingsDigest :UInt64) -> (answer :Answer);
  # The members that changed after a version; version 0 gives all. `life` is the incarnation of the entry that the
  # version belongs to: if it is not the entry's own, all members are given.
  changes @2 (life :UInt64, after :UInt64) -> (life :UInt64, version :UInt64, members :List(Member));
}
