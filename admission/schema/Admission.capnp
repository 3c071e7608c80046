@0xb4f0c3d2a1956e33;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("persimmondoor::admission::wire");

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Request {
  id @0 :Text;
  service @1 :Text;
  endpoint @2 :Text;
  trial @3 :Bool;
  idempotent @4 :Bool;
  # Time left until the caller's deadline, in microseconds.
  timeLeft @5 :Int64;
  method @6 :Text;
  target @7 :Text;
  headers @8 :List(Header);
  body @9 :Data;
}

struct Load {
  running @0 :UInt32;
  queued @1 :UInt32;
  slots @2 :UInt32;
}

struct Answer {
  load @0 :Load;
  union {
    done :group {
      status @1 :UInt16;
      headers @2 :List(Header);
      body @3 :Data;
    }
    notRun :group {
      reason @4 :UInt16;
      notRunDetail @5 :Text;
    }
    unknown :group {
      unknownDetail @6 :Text;
    }
  }
}

# Implemented by agents; called by entries.
interface Admission {
  serve @0 (request :Request) -> (answer :Answer);
}
