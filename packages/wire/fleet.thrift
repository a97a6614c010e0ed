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
}

// An endpoint's entry as of a revision of the store.
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
}

// What the sender has under way at an endpoint; the reading of prompts whose answers
// have not begun is in microseconds.
struct EndpointWork {
  1: i64 endpoint,
  2: i32 running,
  3: i64 reading,
}

// Tokens that an organisation received at the sender, and asked for, since the
// sender started.
struct OrganisationUse {
  1: i64 organisation,
  2: i64 received,
  3: i64 asked,
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
  9: list<EndpointWork> work,
  10: list<OrganisationUse> uses,
  11: list<RouterInfo> others,
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
}
