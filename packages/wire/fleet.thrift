// Messages between the routers of a fleet. Add fields with new numbers only: two
// releases run side by side during an upgrade. "Hash" means the 31-bit hash of a name.

// A router. State is 0 starting, 1 ready, 2 leaving.
struct RouterInfo {
  1: string vm,
  2: i64 incarnation,
  3: string zone,
  4: string region,
  5: string callers,
  6: string peers,
  7: i8 state,
  // CPU time that it may use in thousandths of a core, and its utilisation in percent
  8: i32 cores,
  9: i8 busy,
  // milliseconds since any router received a heartbeat from it, as known to the sender;
  // absent if no router is known to have received one
  10: optional i32 silent_ms,
  // port for callers' connections that other routers offload, on the host in callers
  11: optional i32 relay_port,
}

// An endpoint's entry at a revision of the store. The store's era rises with each
// restore from a backup. born (start of the endpoint, Unix time in milliseconds) and
// sequence identify its announcement, also if the entry is that of a deleted endpoint.
struct EndpointState {
  1: string id,
  2: i64 revision,
  3: bool gone,
  4: optional string service_name,
  5: optional string address,
  6: optional string zone,
  7: optional i32 slots,
  8: optional bool leaving,
  9: optional i64 born,
  10: optional i32 era,
  11: optional i64 sequence,
  // milliseconds for which it stays limited in the requests that it tolerates
  12: optional i32 warmup_ms,
  // version of its software
  13: optional string version,
}

// Whether a zone is drained, at a revision of the store.
struct ZoneState {
  1: string zone,
  2: i64 revision,
  3: i32 era,
  4: bool drained,
}

// Heartbeat, sent a few times a second. Ages are in milliseconds, -1 if unknown.
struct Pulse {
  1: i16 protocol,
  2: RouterInfo sender,
  3: i64 sequence,
  4: i64 version,
  5: i64 digest,
  6: i32 store_age,
  7: string follower,
  8: list<EndpointState> changes,
  // routers whose load it contains: 0 the sender, 1 the sender's zone, 2 all but the
  // receiver, 3 all, 4 none
  9: i8 scope,
  // load and token usage, packed by teaselledge_fleet.connection.figures to fit a
  // datagram
  10: binary work,
  11: binary uses,
  12: list<RouterInfo> others,
  // status of the alive routers of the sender's zone, with scope 3 followed by those of
  // other zones that the sender hears, packed
  13: binary alive,
  // coordinators of the endpoints of one zone, in some heartbeats
  14: list<RouterInfo> admitting,
  // time since the last heartbeat of each router in alive, packed
  15: optional binary alive_ages,
  // with scope 3, one byte for each router in alive: the mark of its heartbeat that the
  // totals include, 0 for none. The router subtracts what it sent in that heartbeat.
  16: optional binary alive_marks,
  // hashes of the routers to which the receiver forwards this heartbeat
  17: optional list<i32> pass_to,
  // number of routers that have forwarded it so far
  18: optional i8 hops,
  // highest era of the store that the sender knows
  19: optional i32 era,
  // drained zones, and those that were taken back a moment ago
  20: optional list<ZoneState> zones,
  // responses of engines from which their slowdown follows, packed; of the same routers
  // as work and uses
  21: optional binary slowdowns,
  // the same by engine: its responses relative to the mean of its service, packed
  22: optional binary engine_slowdowns,
  // endpoints that ended while they had requests, and contents that were served, packed
  23: optional binary ends,
  // number and digest of all reports like those in ends that the sender knows
  24: optional i32 ends_known,
  25: optional i32 ends_digest,
}

// Snapshot of the sender's full state, fetched by a router whose state is older.
struct WholeState {
  1: i16 protocol,
  2: RouterInfo sender,
  3: i64 version,
  4: binary configuration,
  5: i64 digest,
  6: i32 store_age,
  7: list<EndpointState> endpoints,
  8: list<RouterInfo> routers,
  9: optional i32 era,
  // zones that are or were drained
  10: optional list<ZoneState> zones,
  // the same as in Pulse, all that the sender knows
  11: optional binary ends,
}

// Load report, sent some times a second to each coordinator of endpoints at which the
// sender has load. sender is a random number, new with each start of a process.
struct WorkReport {
  1: i32 sender,
  2: i64 sequence,
  // packed by teaselledge_fleet.connection.figures
  3: binary work,
  // sequences of queued requests whose grants are included in work, or were returned
  4: optional list<i64> granted,
  // sequences of queued requests that no longer wait
  5: optional list<i64> withdrawn,
}

// Asks the coordinator of an endpoint to admit a request. Times are in milliseconds.
struct AdmissionRequest {
  1: i32 sender,
  // counted together with the sequence of WorkReport; repeated in the reply
  2: i64 sequence,
  // hash of the endpoint
  3: i32 endpoint,
  4: i32 slots,
  // the sender's requests and their prefill time at the endpoint, without this request
  5: i32 running,
  6: i32 reading,
  // prefill time of this request's prompt
  7: i32 added,
  // maximum queueing time of the request; negative if it is exceeded already
  8: i32 most_wait,
  // maximum number of requests that the endpoint gets from this coordinator each second;
  // absent if it is not limited
  9: optional i32 rate,
  // time that the request may wait in the coordinator's queue; absent if it must be
  // decided at once
  10: optional i32 queue_ms,
  // of a request that may wait: hash of its organisation, its tokens as shares count
  // them, and its priority, where 0 is the most urgent
  11: optional i32 organisation,
  12: optional i32 tokens,
  13: optional i32 priority,
}

struct AdmissionReply {
  1: i64 sequence,
  2: bool admitted,
  // other routers' requests and their prefill time at the endpoint
  3: i32 running,
  4: i32 reading,
  // whether the request waits in the queue; another reply with its sequence follows
  5: optional bool queued,
  // expected wait of the request in milliseconds
  6: optional i32 expected_ms,
  // number of requests in the endpoint's queue
  7: optional i32 queue_length,
}

// Asks which endpoints cache a segment of prompts. Sent to the coordinator of the
// segment's first choice of endpoint by hash.
struct PartRequest {
  1: i64 sequence,
  // hash of the segment
  2: i32 part,
  // hash of the segment's first choice
  3: i32 endpoint,
}

struct PartReply {
  1: i64 sequence,
  // hashes of endpoints, the most recently used first
  2: list<i32> endpoints,
}

// Reports that a prompt with the segment was sent to an endpoint. There is no reply.
struct PartNote {
  1: i32 part,
  2: i32 endpoint,
}

// Tells a router which service and version began a stream, to be kept for others.
struct OriginNote {
  // hash of the organisation and of the id of the attempt that received the first event
  1: i64 stream,
  2: string service_name,
  3: string version,
  // whether the receiver writes it to the store
  4: optional bool durable,
}

// Asks a router for what it keeps of a stream.
struct OriginRequest {
  1: i64 sequence,
  2: i64 stream,
}

struct OriginReply {
  1: i64 sequence,
  // absent if the router knows nothing of the stream
  2: optional string service_name,
  3: optional string version,
}

// One datagram; exactly one of the fields after the first is set.
struct PeerMessage {
  1: i16 protocol,
  2: optional Pulse pulse,
  3: optional WorkReport report,
  4: optional AdmissionRequest request,
  5: optional AdmissionReply reply,
  6: optional PartRequest part_request,
  7: optional PartReply part_reply,
  8: optional PartNote part_note,
  9: optional OriginNote origin_note,
  10: optional OriginRequest origin_request,
  11: optional OriginReply origin_reply,
}
