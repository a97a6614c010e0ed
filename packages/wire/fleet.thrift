// Messages between the routers of a fleet. Add fields with new numbers only: two
// releases run side by side during an upgrade.

// State is 0 starting, 1 ready, 2 leaving.
struct RouterInfo {
  1: string vm,
  2: i64 incarnation,
  3: string zone,
  4: string region,
  5: string callers,
  6: string peers,
  7: i8 state,
  // thousandths of a core that it may use, and the part in use in percent
  8: i32 cores,
  9: i8 busy,
  // milliseconds since it was last heard itself, as far as the sender of this knows;
  // absent where nobody that the sender knows of has heard it
  10: optional i32 silent_ms,
  // port at which it takes over connections of callers, on the host of callers
  11: optional i32 relay_port,
}

// An endpoint's entry as of a revision of the store. The store's eras begin when it is
// restored from a copy; sequence and born tell which of the endpoint's own statements
// this is, also where it is gone.
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
}

// Sent a few times a second. Ages are in milliseconds, -1 where unknown.
struct Pulse {
  1: i16 protocol,
  2: RouterInfo sender,
  3: i64 sequence,
  4: i64 version,
  5: i64 digest,
  6: i32 store_age,
  7: string follower,
  8: list<EndpointState> changes,
  // whose work it tells of: 0 the sender's, 1 its zone's, 2 that of all but the receiver,
  // 3 that of all, 4 nobody's
  9: i8 scope,
  // packed by teaselledge_fleet.connection.figures, to fit a datagram
  10: binary work,
  11: binary uses,
  12: list<RouterInfo> others,
  // routers of the sender's zone that answer it, packed
  13: binary alive,
  // the routers of one zone that admit to its endpoints, in some pulses
  14: list<RouterInfo> admitting,
  // how long ago each router of alive was heard, packed
  15: optional binary alive_ages,
  // with scope 3, which pulse of each router of alive is in the sums, a byte each; 0 for
  // none. The router leaves out what it told in that pulse.
  16: optional binary alive_marks,
  // numbers of routers to which the receiver passes this pulse on
  17: optional list<i32> pass_to,
  // how many routers have passed it on already
  18: optional i8 hops,
  // newest era of the store that the sender knows of
  19: optional i32 era,
}

// Everything, for a router that knows less.
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
}

// Sent some times a second to each router that admits for endpoints at which the
// sender has work. Senders are random numbers, new with each life of a process.
struct WorkReport {
  1: i32 sender,
  2: i64 sequence,
  // packed by teaselledge_fleet.connection.figures
  3: binary work,
}

// May the sender send a request to an endpoint? Times are in milliseconds.
struct AdmissionRequest {
  1: i32 sender,
  // of the same row as those of reports; the reply bears it
  2: i64 sequence,
  3: i32 endpoint,
  4: i32 slots,
  // what the sender has there without this request
  5: i32 running,
  6: i32 reading,
  // how long the endpoint reads this request's prompt
  7: i32 added,
  // longest wait behind others that the request bears; under 0 where it is over
  8: i32 most_wait,
}

struct AdmissionReply {
  1: i64 sequence,
  2: bool admitted,
  // what others have at the endpoint
  3: i32 running,
  4: i32 reading,
}

// Which endpoints keep a part of prompts? Asked of the router that admits to the
// part's first choice by hash.
struct PartRequest {
  1: i64 sequence,
  2: i32 part,
  // the part's first choice
  3: i32 endpoint,
}

struct PartReply {
  1: i64 sequence,
  // keys of endpoints, the one that used it last first
  2: list<i32> endpoints,
}

// An endpoint was given a prompt with the part. Not answered.
struct PartNote {
  1: i32 part,
  2: i32 endpoint,
}

// One datagram; one of the fields after the first is set.
struct PeerMessage {
  1: i16 protocol,
  2: optional Pulse pulse,
  3: optional WorkReport report,
  4: optional AdmissionRequest request,
  5: optional AdmissionReply reply,
  6: optional PartRequest part_request,
  7: optional PartReply part_reply,
  8: optional PartNote part_note,
}
