// Datagrams between routers.

struct Crash {
  1: string digest,
  2: i32 count,
  3: i32 age_ms
}

// Newest record of a data centre that operators evacuate, or no longer do.
struct Evacuation {
  1: string data_centre,
  2: bool active,
  // Of the record in the log; an offset of -1 stands for none.
  3: i64 era,
  4: i64 log_offset
}

struct Evacuations {
  // All records before this offset of the era are applied.
  1: i64 era,
  2: i64 log_end,
  3: list<Evacuation> records
}

struct Report {
  // 1 and 2 carried loads and runs as lists of structures.
  3: list<Crash> crashes,
  4: list<string> leaving,
  5: i64 configuration_version,
  // Time of day of the sender.
  6: i64 wall_ms,
  // Load of the sender's requests on endpoints; see _peer_records.py.
  7: binary loads,
  // Prompt prefixes that the sender recently sent to endpoints.
  8: binary runs,
  // Endpoints at which the sender's requests break off, or no longer do.
  9: binary evidence,
  // With evidence, and in all reports where links are limited.
  10: string data_centre,
  // While there are evacuations, and for a while after the last one.
  11: optional Evacuations evacuations,
  // Endpoints that the sender knows to be cold; see _cold_records.py.
  12: optional binary cold,
  // Whether the sender refuses requests because of its own load.
  13: optional bool router_full,
  // Whether the sender is cut off from the endpoints.
  14: optional bool isolated
}

// Request for tokens by a router that cannot get them from the log.
struct AllotmentRequest {
  1: i64 number,
  2: string organisation,
  3: i64 tokens,
  // Maximum share of its free tokens that the receiver transfers.
  4: i32 percent
}

// Tokens that the sender no longer owns; 0 if it has none to transfer.
struct AllotmentTransfer {
  1: i64 number,
  2: string organisation,
  3: i64 tokens,
  // Tokens that the sender could still transfer.
  4: i64 left
}

// Account of the sender whose raise the log granted.
struct Account {
  1: string organisation,
  2: i64 owned,
  3: i64 ceiling,
  4: i64 revision
}

struct AccountStatement {
  1: i64 number,
  // Era of the log in which the raises were granted.
  2: i64 era,
  3: list<Account> accounts
}

struct Datagram {
  1: string holder,
  2: string router,
  3: optional Report report,
  4: optional AllotmentRequest request,
  5: optional AllotmentTransfer transfer,
  // Requests broken by crashes, and prompt parts that are no longer suspect;
  // see _crash_records.py.
  6: optional binary crash_evidence,
  7: optional binary cleared_parts,
  // Limits that endpoints name; see _limit_records.py.
  8: optional binary endpoint_limits,
  9: optional AccountStatement account_statement,
  // Number of a statement whose accounts the sender remembers.
  10: optional i64 known_statement,
  // Speeds of endpoints that the sender observed; see _speed_records.py.
  11: optional binary endpoint_speeds,
  // Endpoints that bound their rejections; see _brittle_records.py.
  12: optional binary brittle_endpoints
}
