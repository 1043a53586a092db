namespace py sedgeswitch.databases.generated

// Command of the agreed state machine. `source` is the compressed text that
// the operator sent.
struct Replace {
  1: required i64 version,
  2: required binary source,
}

struct ReplaceResult {
  1: required bool is_in_force,
  2: required i64 version,
}

struct Snapshot {
  1: required i64 version,
  2: required binary source,
}

// Heartbeat section, entry host to leader.
struct Report {
  1: required i64 version,
}

// Heartbeat section, leader to entry host; `source` is left out where the host
// has the version already.
struct Answer {
  1: required i64 version,
  2: optional binary source,
}
