@0xd3a1f0c2b4e59687;

# RPC interfaces between daemons. Control payloads are postcard encodings of the types in
# foxtailgauge-core, which the log files store as well; calls have their types here.

struct Header {
  name @0 :Text;
  value @1 :Text;
}

enum Outcome {
  ran @0;
  notRun @1;
  unknown @2;
}

enum Cause {
  none @0;
  unknownServer @1;
  draining @2;
  queueFull @3;
  tooLate @4;
  unreachable @5;
  shed @6;
  died @7;
  timedOut @8;
  ledgerUnreachable @9;
  inProgress @10;
  lost @11;
  voided @12;
  otherRequest @13;
  expiredKey @14;
  futureKey @15;
  answerTooLarge @16;
  replayed @17;
}

struct CallRequest {
  attempt @0 :Data;         # 16 bytes, UUID
  server @1 :Text;
  method @2 :Text;
  target @3 :Text;          # path and query
  headers @4 :List(Header);
  body @5 :Data;
  remainingUs @6 :UInt64;   # time remaining until the deadline, in microseconds
  key @7 :Data;             # idempotency key: 16 bytes, UUID; empty if not billable
  queueRequests @8 :UInt64;
}

struct CallReply {
  outcome @0 :Outcome;
  cause @1 :Cause;
  retryAfterMs @2 :UInt64;
  status @3 :UInt16;        # HTTP status; 0 if there is no response of a backend server
  headers @4 :List(Header);
  body @5 :Data;
  inFlight @6 :UInt32;
}

interface Calls {
  execute @0 (request :CallRequest) -> (reply :CallReply);
}

interface Control {
  poll @0 (request :Data) -> (reply :Data);
  report @1 (request :Data) -> (reply :Data);
  probe @2 () -> (reply :Data);
  submit @3 (request :Data) -> (reply :Data);
  tell @4 (instance :Data) -> ();
}
