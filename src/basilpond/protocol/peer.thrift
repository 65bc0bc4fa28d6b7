// Messages between routers. UDP datagrams carry one Gossip; TCP frames carry
// one Frame, prefixed with its length as a 4-byte big-endian integer.

struct MemberUpdate {
  1: string incarnation_id,     // <router_id>~<start time ms>
  2: string data_centre,
  3: string host,
  4: i32 port,                  // UDP and TCP
  5: i64 version,               // SWIM incarnation number, raised to refute
  6: i32 state,                 // 0 alive, 1 suspect, 2 dead, 3 left
  7: i64 manifest_version,
  8: bool ready,
  9: i32 operator_port,
}

struct EndpointNotice {
  1: string endpoint,
  2: i32 kind,                  // 0 leaving, 1 quarantined
  3: i64 age_ms,
}

struct CrashNotice {
  1: string body_digest,
  2: i32 crashes,
  3: i64 age_ms,
}

struct Gossip {
  1: i32 kind,                  // 0 ping, 1 ack, 2 indirect ping request
  2: i64 nonce,
  3: MemberUpdate sender,
  4: optional string target,
  5: list<MemberUpdate> updates,
  6: list<EndpointNotice> endpoints,
  7: list<CrashNotice> crashes,
}

struct JournalAppend {
  1: string holder,
  2: list<binary> entries,      // JSON of Bill, Transfer or Return
}

struct JournalReply {
  1: list<string> sealed,       // allotments whose entries were rejected
}

struct AskAllotment {
  1: string organisation,
  2: i64 need_tokens,
  3: string holder,
  4: optional string journal_peer,
  5: optional bool log_unreachable,   // sender can't use a Return
}

struct AskAllotmentReply {
  1: i64 returned_tokens,       // returned to the budget through the log
  2: optional binary transfer,  // JSON of a committed Transfer
}

struct FetchManifest {
  1: i64 newer_than_version,
}

struct FetchManifestReply {
  1: i64 version,
  2: optional binary document,
}

struct FetchAnswer {
  1: string organisation,
  2: string request_id,
}

struct FetchAnswerReply {
  1: i32 status,                // 0 if no response is stored
  2: optional string content_type,
  3: optional binary body,
  4: optional string body_digest,
}

struct Heartbeat {
  1: i64 nonce,
}

struct Frame {
  1: i64 call_id,
  2: bool is_reply,
  3: optional string error,
  4: optional JournalAppend journal_append,
  5: optional JournalReply journal_reply,
  6: optional AskAllotment ask_allotment,
  7: optional AskAllotmentReply ask_allotment_reply,
  8: optional FetchManifest fetch_manifest,
  9: optional FetchManifestReply fetch_manifest_reply,
  10: optional FetchAnswer fetch_answer,
  11: optional FetchAnswerReply fetch_answer_reply,
  12: optional Heartbeat heartbeat,
}
