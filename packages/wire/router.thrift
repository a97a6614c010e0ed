// Messages between routers. Add fields with new numbers only: two releases
// run side by side during an upgrade.

struct Register {
  1: i64 request,
  2: string organisation,
  3: string kind,
  4: double cost_hint,
  5: double waited,
  6: double deadline,
  7: i32 body_bytes,
  8: optional i64 prefix,
  9: bool repeatable,
  10: list<string> excluded,
  // the ingress, if a dispatcher forwards the entry
  11: optional string owner_vm,
  12: optional i64 owner_incarnation,
}

struct Withdraw {
  1: i64 request,
  2: optional string owner_vm,
  3: optional i64 owner_incarnation,
}

struct Grant {
  1: i64 request,
  2: i64 grant,
  3: string endpoint,
  4: double charged,
  // incarnation of the ingress of the request; each one numbers its requests anew
  5: optional i64 incarnation,
}

struct Accept { 1: i64 grant }

// Asks the ingress to cancel a stream and to queue the rest of it again.
struct Preempt { 1: i64 grant }

struct Decline { 1: i64 grant }

struct Done {
  1: i64 grant,
  2: double cost,
  3: bool failed,
  4: double seconds,
  5: optional i64 request,
  // set if another dispatcher counts the request from now on
  6: optional bool moved,
}

// Cost of a stream so far, sent once it exceeds the charged cost.
struct Progress {
  1: i64 grant,
  2: i64 request,
  3: double cost,
}

struct Running {
  1: i64 request,
  2: i64 grant,
  3: string organisation,
  4: string endpoint,
  5: double charged,
  6: double spent,
  7: optional string kind,
}

// Requests of an ingress in one shard; sent repeatedly so that a new dispatcher can
// rebuild its state.
struct Snapshot {
  1: list<Register> waiting,
  2: list<Running> running,
  // count and digest of the request numbers; the lists are empty unless full is set
  3: optional i32 count,
  4: optional i64 digest,
  5: optional bool full,
}

// Response to a snapshot's digest; wanted requests the full snapshot after a mismatch.
struct SnapshotReply { 1: bool wanted }

struct Account {
  1: string organisation,
  2: double served,
  3: double standing,
  4: i32 waiting,
  5: double oldest,
}

// Cumulative service counted by one incarnation of a dispatcher.
struct Report {
  1: string zone,
  2: i64 incarnation,
  3: i64 sequence,
  4: list<Account> accounts,
  5: i32 free_slots,
  // set in the total of a region, which the region's representative sends
  6: optional string region,
  7: optional string vm,
}

// Asks the dispatcher of another zone for waiting requests.
struct Fetch {
  1: string zone,
  2: string endpoint,
  3: list<string> organisations,
  4: i64 fetch,
  5: optional i32 count,
  // VM of the requesting dispatcher, if another one forwarded the message
  6: optional string vm,
  // number of requests, out of count, that would start at once
  7: optional i32 idle,
}

struct FetchAnswer {
  1: i64 fetch,
  2: bool found,
  3: optional list<Register> entries,
  4: optional string zone,
}

struct EndpointHint {
  1: string endpoint,
  2: bool leaving,
}

struct Heartbeat {
  1: string vm,
  2: i64 incarnation,
  3: string zone,
  4: string region,
  5: bool leaving,
  6: i64 version,
  7: string peer_address,
  8: string caller_address,
  9: double load,
  10: list<EndpointHint> hints,
  11: list<string> leaving_vms,
  12: list<string> reaches,
  20: optional string operator_address,
  21: optional string receiver,
}

// Sections of the document, requested and returned by digest.
struct SectionRequest { 1: list<string> digests }
struct SectionAnswer { 1: map<string, binary> sections }
// Announces a version of the document; without a head, only its number. confirmed_ms
// is the age of the latest response of the store that any router has reported.
struct HeadNotice {
  1: i64 version,
  2: binary head,
  3: optional i32 confirmed_ms,
}

// Member report: the state of a router as known to the sender. State is 0 alive, 1
// suspect, 2 dead.
struct Rumour {
  1: string vm,
  2: i64 incarnation,
  3: i64 beat,
  4: byte state,
  5: bool leaving,
  6: optional string zone,
  7: optional string region,
  8: optional string peer_address,
  9: optional string caller_address,
  10: optional i64 version,
  11: optional double load,
  12: optional string operator_address,
}

// Observation of an endpoint by one router, valid for the given seconds.
struct EndpointNews {
  1: string service_name,
  2: string endpoint,
  3: byte reason,
  4: double seconds,
  5: string reporter,
  6: i64 number,
}

// Sent to the neighbours in each period; ask requests a Beat in return.
struct Beat {
  1: i64 beat,
  2: i64 digest,
  3: i64 version,
  4: double load,
  5: bool leaving,
  6: bool ask,
}

// Changes, forwarded by each router to which they are new; ask requests the receiver's
// full state.
struct Gossip {
  1: list<Rumour> rumours,
  2: list<EndpointNews> endpoints,
  3: bool ask,
}

union Body {
  1: Register registration,
  2: Withdraw withdraw,
  3: Grant grant,
  4: Accept accept,
  5: Decline decline,
  6: Done done,
  7: Snapshot snapshot,
  8: Report report,
  9: Fetch fetch,
  10: FetchAnswer fetch_answer,
  11: Heartbeat heartbeat,
  12: SectionRequest section_request,
  13: SectionAnswer section_answer,
  14: HeadNotice head_notice,
  15: Preempt preempt,
  30: Beat beat,
  31: Gossip gossip,
  20: Progress progress,
  21: SnapshotReply snapshot_reply,
}

// One message. The service and zone identify the shard that it concerns.
struct Message {
  1: Body body,
  2: optional string service_name,
  3: optional string zone_name,
}

struct Envelope {
  1: i32 protocol,
  2: i64 incarnation,
  3: list<Message> messages,
}
