namespace py sedgeswitch.evacuations.generated

// Command of the replicated state machine: starts or ends the evacuation of an
// availability zone.
struct Command {
  1: required string zone,
  2: required bool is_start,
}

// Whether the command changed the evacuated zones, and the version afterwards.
struct CommandResult {
  1: required bool is_changed,
  2: required i64 version,
}

struct Snapshot {
  1: required i64 version,
  2: required list<string> zones,
}

// Heartbeat section, from an entry host to the leader: the version that it has.
struct Report {
  1: required i64 version,
}

struct Evacuation {
  1: required string zone,
  // Lower bound of the time since the evacuation was committed.
  2: required i64 age_ms,
}

// Heartbeat section, from the leader to an entry host. `evacuations` holds all
// evacuated zones; it is omitted if the host already has the version.
struct Answer {
  1: required i64 version,
  2: optional list<Evacuation> evacuations,
}
