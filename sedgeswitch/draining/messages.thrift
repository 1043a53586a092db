namespace py sedgeswitch.draining.generated

// Entry host to leader: what still runs on drained backend servers.
struct DrainReport {
  1: required i64 configuration_version,
  // Running and waiting requests by instance; instances without any are absent.
  2: required map<string, i32> in_use,
}

struct DrainAnswer {
}
