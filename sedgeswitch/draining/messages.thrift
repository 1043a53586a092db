namespace py sedgeswitch.draining.generated

// Heartbeat section, from an entry host to the leader: requests that still use
// drained backend servers.
struct DrainReport {
  1: required i64 configuration_version,
  // Number of running and waiting requests by instance; zero counts are omitted.
  2: required map<string, i32> in_use,
}

// Empty: the leader has nothing to send back.
struct DrainAnswer {
}
