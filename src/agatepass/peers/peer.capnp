# Messages between entry hosts. scripts/generate makes generated/ from this
# file. Fields are only ever added; numbers are never used again.
@0xb2f1c7a90d3e5a61;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("agatepass::peers::wire");

interface Peer {
  # The empty result acknowledges that the receiver took the envelope in.
  deliver @0 (envelope :Envelope) -> ();
}

struct Envelope {
  sender @0 :Text;
  incarnation @1 :UInt64;
  # Pairs an answer with its query; 0 where there is no answer.
  requestId @2 :UInt64;
  union {
    heartbeat @3 :Heartbeat;
    configText @4 :ConfigText;
    configQuery @5 :ConfigQuery;
    jobQuery @6 :Query;
    jobAnswer @7 :Answer;
    ticketQuery @8 :TicketQuery;
    ticketAnswer @9 :TicketAnswer;
    whyQuery @10 :Query;
    whyAnswer @11 :Answer;
    timelineQuery @12 :Query;
    timelineAnswer @13 :Answer;
    reserve @14 :Reserve;
    reserveAnswer @15 :ReserveAnswer;
    commit @16 :Commit;
    commitAnswer @17 :CommitAnswer;
    release @18 :Release;
    releaseAnswer @19 :ReleaseAnswer;
    taskReports @20 :TaskReports;
    taskReportsAnswer @21 :TaskList;
    taskStop @22 :TaskList;
    taskStopAnswer @23 :TaskReports;
    taskQuery @24 :TaskQuery;
    taskAnswer @25 :TaskReports;
    handover @26 :Handover;
  }
}

struct Resources {
  millicores @0 :Int64;
  memoryMib @1 :Int64;
  accelerators @2 :Int64;
}

struct LiveHost {
  host @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
}

struct DataCentreSummary {
  dataCentre @0 :Text;
  representative @1 :Text;
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  configRevision @4 :UInt64;
  hosts @5 :List(LiveHost);
  free @6 :Resources;
  largestFree @7 :Resources;
  queuedTasks @8 :UInt32;
}

struct Heartbeat {
  sequence @0 :UInt64;
  # The highest sequence of the receiver that the sender has seen.
  heardSequence @1 :UInt64;
  configRevision @2 :UInt64;
  leaving @3 :Bool;
  free @4 :Resources;
  largestFree @5 :Resources;
  queuedTasks @6 :UInt32;
  relayState @7 :Text;
  workers @8 :List(Text);
  summaries @9 :List(DataCentreSummary);
  dataCentre @10 :Text;
}

struct ConfigText {
  revision @0 :UInt64;
  text @1 :Text;
}

struct ConfigQuery {
  heldRevision @0 :UInt64;
}

struct Query {
  id @0 :Text;
  body @1 :Text;
}

struct Answer {
  code @0 :UInt16;
  body @1 :Text;
}

struct TicketQuery {
  ticket @0 :Text;
  service @1 :Text;
  team @2 :Text;
  method @3 :Text;
  path @4 :Text;
  body @5 :Data;
  deadlineMs @6 :UInt32;
  idempotent @7 :Bool;
}

struct TicketAnswer {
  code @0 :UInt16;
  status @1 :UInt16;
  message @2 :Text;
  body @3 :Data;
}

struct TaskRequest {
  task @0 :Text;
  declared @1 :Resources;
}

struct Reserve {
  reservation @0 :Text;
  job @1 :Text;
  team @2 :Text;
  workload @3 :Text;
  priority @4 :Int32;
  allAtOnce @5 :Bool;
  separation @6 :Text;
  expiryMs @7 :UInt32;
  tasks @8 :List(TaskRequest);
}

struct TaskPlacement {
  task @0 :Text;
  worker @1 :Text;
}

struct ReserveAnswer {
  reservation @0 :Text;
  code @1 :UInt16;
  reason @2 :Text;
  placements @3 :List(TaskPlacement);
}

struct TaskStart {
  task @0 :Text;
  team @1 :Text;
  declared @2 :Resources;
  command @3 :Text;
  leaseMs @4 :UInt32;
  stopOnLapse @5 :Bool;
}

struct Commit {
  reservation @0 :Text;
  starts @1 :List(TaskStart);
}

struct StartResult {
  task @0 :Text;
  worker @1 :Text;
  started @2 :Bool;
  reason @3 :Text;
}

struct CommitAnswer {
  reservation @0 :Text;
  code @1 :UInt16;
  results @2 :List(StartResult);
}

struct Release {
  reservation @0 :Text;
}

struct ReleaseAnswer {
  reservation @0 :Text;
  code @1 :UInt16;
}

struct TaskReport {
  task @0 :Text;
  worker @1 :Text;
  phase @2 :UInt8;
  declared @3 :Resources;
  used @4 :Resources;
  result @5 :Data;
}

struct TaskReports {
  # Whether every worker that could run such a task has answered.
  complete @0 :Bool;
  reports @1 :List(TaskReport);
  silentWorkers @2 :List(Text);
}

struct TaskList {
  tasks @0 :List(Text);
}

struct TaskQuery {
  job @0 :Text;
}

struct WorkerGrant {
  worker @0 :Text;
  epoch @1 :UInt64;
}

struct Handover {
  workers @0 :List(WorkerGrant);
}
