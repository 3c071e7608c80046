@0xe2a7c95d03b4f611;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("persimmondoor::hosting::wire");

struct Resources {
  milliCores @0 :Int64;
  memoryBytes @1 :Int64;
  accelerators @2 :Int64;
}

struct Stamp {
  incarnation @0 :UInt64;
  # On the agent's own clock, in microseconds.
  issuedAt @1 :Int64;
}

struct TaskAttempt {
  task @0 :Text;
  attempt @1 :UInt64;
}

struct Probe {
  team @0 :Text;
  wanted @1 :Resources;
}

struct Offer {
  worker @0 :Text;
  domain @1 :Text;
  rack @2 :Text;
  stamp @3 :Stamp;
  capacity @4 :Resources;
  free @5 :Resources;
  running @6 :UInt32;
  pressure @7 :Float64;
  accepting @8 :Bool;
}

struct Start {
  task @0 :TaskAttempt;
  partition @1 :UInt64;
  epoch @2 :UInt64;
  team @3 :Text;
  trial @4 :Bool;
  resources @5 :Resources;
  command @6 :Text;
  checkpoint @7 :Text;
  stamp @8 :Stamp;
  # In microseconds.
  lease @9 :Int64;
}

struct StartAnswer {
  union {
    started @0 :Void;
    refused :group {
      reason @1 :UInt16;
      detail @2 :Text;
    }
  }
}

struct Stop {
  task @0 :TaskAttempt;
  partition @1 :UInt64;
  epoch @2 :UInt64;
  checkpoint @3 :Bool;
}

enum StopAnswer {
  accepted @0;
  unknownTask @1;
  staleEpoch @2;
  notReady @3;
}

struct Event {
  sequence @0 :UInt64;
  task @1 :TaskAttempt;
  union {
    started @2 :Void;
    finished :group {
      exitCode @3 :Int32;
      result @4 :Text;
    }
    failed @5 :Text;
    checkpointed @6 :Text;
    stopped @7 :Void;
    leaseLapsed @8 :Void;
  }
}

struct Renewal {
  partition @0 :UInt64;
  epoch @1 :UInt64;
  stamp @2 :Stamp;
  # In microseconds.
  lease @3 :Int64;
  acknowledged @4 :UInt64;
  unwanted @5 :List(TaskAttempt);
  digest @6 :UInt64;
}

struct RenewalAnswer {
  union {
    staleEpoch @0 :Void;
    notReady @1 :Void;
    answered :group {
      stamp @2 :Stamp;
      renewed @3 :Bool;
      events @4 :List(Event);
      moreEvents @5 :Bool;
      digest @6 :UInt64;
      running @7 :List(TaskAttempt);
    }
  }
}

# Served by agents, called by owners of partitions.
interface Hosting {
  probe @0 (probe :Probe) -> (offer :Offer);
  start @1 (start :Start) -> (answer :StartAnswer);
  stop @2 (stop :Stop) -> (answer :StopAnswer);
  renew @3 (renewal :Renewal) -> (answer :RenewalAnswer);
}
