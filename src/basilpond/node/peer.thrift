// Datagrams between routers.

struct Crash {
  1: string digest,
  2: i32 count,
  3: i32 age_ms
}

struct Report {
  // 1 and 2 carried loads and runs as lists of structures.
  3: list<Crash> crashes,
  4: list<string> leaving,
  5: i64 configuration_version,
  // Time of day of the sender.
  6: i64 wall_ms,
  // Load that the sender puts on endpoints; see _peer_records.py.
  7: binary loads,
  // Prompt parts that the sender sent to endpoints lately.
  8: binary runs
}

// A router without the log asks another one for tokens.
struct AllotmentRequest {
  1: i64 number,
  2: string organisation,
  3: i64 tokens,
  // Part of its free tokens that the receiver gives at most.
  4: i32 percent
}

// Tokens that the sender no longer owns; none if it has none to give.
struct AllotmentTransfer {
  1: i64 number,
  2: string organisation,
  3: i64 tokens,
  // What the sender could still give.
  4: i64 left
}

struct Datagram {
  1: string holder,
  2: string router,
  3: optional Report report,
  4: optional AllotmentRequest request,
  5: optional AllotmentTransfer transfer
}
