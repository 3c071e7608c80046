@0xc41fe0a7d95b2c6e;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("persimmondoor::workflow::wire");

struct Life {
  name @0 :Text;
  bornMs @1 :Int64;
  host @2 :Text;
}

struct Run {
  job @0 :Text;
  occurrence @1 :UInt32;
  step @2 :UInt32;
  index @3 :UInt32;
  run @4 :UInt32;
}

struct ActiveRun {
  run @0 :Run;
  checkpoint @1 :Text;
  percent @2 :UInt32;
  load @3 :UInt32;
  pace @4 :UInt32;
}

struct EndedRun {
  number @0 :UInt64;
  run @1 :Run;
  end @2 :UInt8;
  checkpoint @3 :Text;
}

struct RefusedStart {
  run @0 :Run;
  reason @1 :UInt8;
}

struct Worker {
  life @0 :Life;
  service @1 :Text;
  domain @2 :Text;
  labels @3 :List(Text);
  milliCores @4 :Int64;
  memoryBytes @5 :Int64;
  accelerators @6 :Int64;
  draining @7 :Bool;
  remainingMs @8 :Int64;
  listed @9 :Bool;
  active @10 :List(ActiveRun);
  ended @11 :List(EndedRun);
  refused @12 :List(RefusedStart);
  readings @13 :UInt64;
  # The agent's last list request to the worker succeeded.
  reachable @14 :Bool = true;
  # The worker may hold later ends than those in `ended`.
  endsCut @15 :Bool;
}

struct Report {
  agent @0 :Text;
  domain @1 :Text;
  session @2 :UInt64;
  epoch @3 :UInt64;
  fence @4 :UInt64;
  sequence @5 :UInt64;
  settled @6 :UInt64;
  workers @7 :List(Worker);
  gone @8 :List(Life);
  mayRelay @9 :Bool;
  crashed @10 :List(Run);
  # Completed orders beyond the first open one.
  completed @11 :List(UInt64);
  # Those of `crashed` whose start was not confirmed.
  unconfirmed @12 :List(Run);
}

struct Order {
  number @0 :UInt64;
  worker @1 :Life;
  run @2 :Run;
  union {
    start :group {
      payload @3 :Text;
      checkpoint @4 :Text;
      ticket @5 :Text;
    }
    stop @6 :Void;
  }
}

struct DurableEnd {
  worker @0 :Life;
  number @1 :UInt64;
}

struct RunTraits {
  run @0 :Run;
  fills @1 :Bool;
  targetTailMs @2 :UInt32;
  image @3 :Text;
  milliCores @4 :Int64;
}

struct HarmFactor {
  filling @0 :Text;
  factor @1 :Float64;
}

struct Sensitivity {
  longRunning @0 :Text;
  unloadedMs @1 :UInt32;
  harms @2 :List(HarmFactor);
}

struct Directive {
  epoch @0 :UInt64;
  fence @1 :UInt64;
  answered @2 :UInt64;
  # In microseconds.
  lease @3 :Int64;
  orders @4 :List(Order);
  durable @5 :List(DurableEnd);
  traits @6 :List(RunTraits);
  sensitivities @7 :List(Sensitivity);
  # Names of the services that the configuration contains.
  services @8 :List(Text);
}

struct ClientCall {
  host @0 :Text;
  path @1 :Text;
  # In microseconds.
  timeLeft @2 :Int64;
  mayRelay @3 :Bool;
  union {
    # The spec, encoded as in the store.
    submit @4 :Data;
    look @5 :Void;
    cancel @6 :Void;
  }
  # Term of the leader by whose clock the call expires, and the time, in microseconds; 0 if it does not expire.
  expiryEpoch @7 :UInt64;
  expiresAt @8 :Int64;
}

struct ClientAnswer {
  union {
    accepted @0 :Void;
    notAccepted :group {
      reason @1 :Text;
      # In microseconds.
      retryAfter @2 :Int64;
    }
    malformed @3 :Text;
    noSuchQueue @4 :Void;
    noSuchJob @5 :Void;
    status @6 :UInt8;
    waiting @7 :UInt64;
    cancelAccepted @8 :Void;
    outcomeUnknown @9 :Text;
    notOwner @10 :Text;
    # Time to retry after, in microseconds.
    jobUnreadable @11 :Int64;
  }
}

# The leadership as one process knows it.
struct Leader {
  epoch @0 :UInt64;
  # ip:port; empty if none is known.
  address @1 :Text;
  # True if the process that sends this is the leader.
  isSelf @2 :Bool;
  # Time since the leader's last durable write, in microseconds.
  writeAge @3 :Int64;
  # Time since the leader last answered, in microseconds.
  contactAge @4 :Int64;
  # Steady clock of the leader's host, in microseconds; 0 in the views of others.
  clock @5 :Int64;
}

interface Scheduler {
  call @0 (call :ClientCall) -> (answer :ClientAnswer);
  # Long poll: answers at once if a reply to the agent is due, otherwise after about half a second.
  exchange @1 (report :Report) -> (isOwner :Bool, directive :Directive, leader :Leader);
  # Exchanges views of the leadership. `fromAddress` is where the caller listens; `peers` are the entries that have recently
  # pinged or answered the callee, or that another entry has named to it.
  ping @2 (fromAddress :Text, leader :Leader) -> (leader :Leader, peers :List(Text));
}
