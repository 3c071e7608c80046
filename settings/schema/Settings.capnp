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

# Served by every process.
interface Settings {
  # What changed since the caller's tree had this digest; remembered is false if that is not known, and the caller
  # asks again with its revisions.
  fetchSince @0 (digest :UInt64) -> (remembered :Bool, subtrees :List(Subtree));
  # What is newer than the caller's revisions; isKnown is false if this process knows no settings itself.
  fetchNewer @1 (known :List(KnownRevision)) -> (isKnown :Bool, subtrees :List(Subtree));
  # Subtrees that were just accepted; the receiver passes them on to the processes at these addresses.
  push @2 (subtrees :List(Subtree), passOnTo :List(Text)) -> ();
}
