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

struct AnnounceAnswer {
  settings :union {
    upToDate @0 :Void;
    # Newer settings can be fetched from the entry itself.
    fetchHere @1 :Void;
    # Newer settings can be fetched from this address.
    fetchFrom @2 :Text;
  }
}

# Served by entries, called by agents.
interface Membership {
  # settingsDigest names the settings that the agent has in force.
  announce @0 (announcement :Announcement, settingsDigest :UInt64) -> (answer :AnnounceAnswer);
}
