@0xc5d3a1f7e2b94d61;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("persimmondoor::settings::wire");

struct Subtree {
  name @0 :Text;
  revision @1 :UInt64;
  text @2 :Text;
  writeId @3 :Text;
  operator @4 :Text;
  acceptedMilliseconds @5 :Int64;
}

struct KnownRevision {
  name @0 :Text;
  revision @1 :UInt64;
}

# Implemented by every process.
interface Settings {
  # Returns the subtrees that changed since the caller's tree had this digest. `remembered` is false if the callee no
  # longer has that digest in its history; the caller then calls fetchNewer with its revisions.
  fetchSince @0 (digest :UInt64) -> (remembered :Bool, subtrees :List(Subtree));
  # Returns the subtrees that are newer than the caller's revisions. `isKnown` is false if the callee has not yet read
  # any settings itself.
  fetchNewer @1 (known :List(KnownRevision)) -> (isKnown :Bool, subtrees :List(Subtree));
  # Sends newly accepted subtrees. The receiver applies them and forwards them to the processes at `passOnTo`.
  push @2 (subtrees :List(Subtree), passOnTo :List(Text)) -> ();
}
