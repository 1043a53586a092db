namespace py sedgeswitch.databases.generated

// Command of the replicated state machine. `source` is the compressed text of
// the document, as the operator sent it.
struct Replace {
  1: required i64 version,
  2: required binary source,
}

// Whether the document of the command was put in force, and the version that is in
// force afterwards.
struct ReplaceResult {
  1: required bool is_in_force,
  2: required i64 version,
}

struct Snapshot {
  1: required i64 version,
  2: required binary source,
}

// Heartbeat section, from an entry host to the leader.
struct Report {
  1: required i64 version,
}

// Heartbeat section, from the leader to an entry host. `source` is omitted if the
// host already has the version.
struct Answer {
  1: required i64 version,
  2: optional binary source,
}
