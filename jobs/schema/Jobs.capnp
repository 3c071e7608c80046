@0xcf6d1b1a7b0a3e51;
using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("persimmondoor::jobs::wire");

struct Resources {
  milliCores @0 :Int64;
  memoryBytes @1 :Int64;
  accelerators @2 :Int64;
}

struct Constraint {
  union {
    unconstrained @0 :Void;
    spread :group {
      level @1 :UInt16;
      maximumPerGroup @2 :UInt32;
    }
    gang :group {
      within @3 :UInt16;
    }
  }
}

struct Spec {
  id @0 :Text;
  team @1 :Text;
  trial @2 :Bool;
  urgent @3 :Bool;
  command @4 :Text;
  taskCount @5 :UInt32;
  resources @6 :Resources;
  constraint @7 :Constraint;
  failureBudget @8 :UInt32;
}

struct Site {
  worker @0 :Text;
  rack @1 :Text;
  domain @2 :Text;
}

# One attempt of a task.
struct Run {
  job @0 :Text;
  index @1 :UInt32;
  attempt @2 :UInt64;
}

# One journal record. Times are milliseconds since 1970 UTC.
struct Record {
  at @0 :Int64;
  union {
    submitted @1 :Spec;
    cancelled @2 :Text;
    assigned :group {
      run @3 :Run;
      site @4 :Site;
    }
    checkpoint :group {
      run @5 :Run;
      reference @6 :Text;
    }
    released :group {
      run @7 :Run;
      cause @8 :UInt16;
      checkpoint @9 :Text;
    }
    finished :group {
      run @10 :Run;
      exitCode @11 :Int32;
      result @12 :Text;
    }
    failed :group {
      run @13 :Run;
      reason @14 :Text;
      counted @15 :Bool;
    }
    unplaceable :group {
      job @16 :Text;
      reason @17 :Text;
    }
    forgotten @18 :Text;
  }
}

# The value of one journal row.
struct Batch {
  epoch @0 :UInt64;
  sequence @1 :UInt64;
  records @2 :List(Record);
}

struct Phase {
  union {
    queued @0 :Void;
    evicted @1 :Void;
    # Starting, running or checkpointing. Which of them is not stored; agents report it.
    assigned @2 :Site;
    stopping @3 :Site;
    finished :group {
      exitCode @4 :Int32;
      result @5 :Text;
    }
    failed @6 :Text;
    cancelled @7 :Void;
    unplaceable @8 :Text;
  }
}

struct Task {
  phase @0 :Phase;
  attempt @1 :UInt64;
  failures @2 :UInt32;
  checkpoint @3 :Text;
  failedAt @4 :List(Text);
  lastError @5 :Text;
}

struct Job {
  spec @0 :Spec;
  order @1 :UInt64;
  tasks @2 :List(Task);
  cancelled @3 :Bool;
  finished @4 :UInt32;
  failures @5 :UInt32;
  failedAt @6 :List(Text);
  submittedAt @7 :Int64;
  endedAt @8 :Int64;
}

# The object of one snapshot: all jobs of a partition.
struct Snapshot {
  jobs @0 :List(Job);
}

# The row that names the newest snapshot of a partition and the last batch that it contains.
struct SnapshotRow {
  object @0 :Text;
  through @1 :UInt64;
}

# The row of one failure domain.
struct DomainRow {
  inService @0 :Bool;
  # Identifies the change that wrote the row, so that its writer recognises it after a lost reply.
  change @1 :Text;
  # Milliseconds since 1970 UTC.
  changedAt @2 :Int64;
}

struct Request {
  union {
    submit @0 :Spec;
    cancel @1 :List(Text);
    list @2 :Text;
    show @3 :Text;
  }
}

struct PhaseCount {
  phase @0 :Text;
  tasks @1 :UInt32;
}

struct Summary {
  id @0 :Text;
  team @1 :Text;
  trial @2 :Bool;
  urgent @3 :Bool;
  taskCount @4 :UInt32;
  cancelled @5 :Bool;
  submittedAt @6 :Int64;
  endedAt @7 :Int64;
  phases @8 :List(PhaseCount);
}

struct TaskView {
  index @0 :UInt32;
  phase @1 :Text;
  attempt @2 :UInt64;
  failures @3 :UInt32;
  worker @4 :Text;
  checkpoint @5 :Text;
  result @6 :Text;
  explanation @7 :Text;
}

struct Answer {
  union {
    accepted @0 :Void;
    idTaken @1 :Void;
    noSuchJob @2 :Text;
    notAccepted @3 :Text;
    outcomeUnknown @4 :Void;
    notOwner @5 :Void;
    list @6 :List(Summary);
    details :group {
      summary @7 :Summary;
      command @8 :Text;
      tasks @9 :List(TaskView);
    }
  }
}

# Served by every process that may own partitions.
interface Jobs {
  ask @0 (partition :UInt64, request :Request) -> (answer :Answer);
}
