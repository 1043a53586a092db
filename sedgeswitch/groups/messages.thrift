namespace py sedgeswitch.groups.generated

enum GroupPhase {
  SERVING = 1,
  FENCED = 2,
}

// What the control hosts have agreed about one group. `version` is the table
// version of the last change that entry hosts must learn; `candidates` are the
// instances that may have been told to promote themselves since the fence;
// `leaving` instances no longer count for the acknowledgement of writes.
struct Group {
  1: required string group,
  2: required i64 term,
  3: required i64 timeline,
  4: required string primary,
  5: required GroupPhase phase,
  6: required i64 version,
  7: required list<string> instances,
  8: required string reason,
  9: required list<string> candidates,
  10: required list<string> leaving,
}

// Commands of the agreed state machine.
struct RegisterGroup {
  1: required string group,
  2: required string primary,
  3: required i64 timeline,
  4: required list<string> instances,
}

struct AddInstance {
  1: required string group,
  2: required i64 term,
  3: required string instance,
}

struct RetireInstance {
  1: required string group,
  2: required i64 term,
  3: required string instance,
}

struct RemoveInstance {
  1: required string group,
  2: required i64 term,
  3: required string instance,
}

struct Fence {
  1: required string group,
  2: required i64 term,
  3: required string reason,
}

struct Choose {
  1: required string group,
  2: required i64 term,
  3: required string instance,
}

struct Promoted {
  1: required string group,
  2: required i64 term,
  3: required string primary,
  4: required i64 timeline,
  5: required i64 lsn,
}

struct Command {
  1: optional RegisterGroup register_group,
  2: optional AddInstance add_instance,
  3: optional Fence fence,
  4: optional Choose choose,
  5: optional Promoted promoted,
  6: optional RetireInstance retire_instance,
  7: optional RemoveInstance remove_instance,
}

enum Outcome {
  ACCEPTED = 1,
  UNCHANGED = 2,
  STALE_TERM = 3,
  UNKNOWN_GROUP = 4,
  NOT_ALLOWED = 5,
}

struct CommandResult {
  1: required Outcome outcome,
  2: optional Group group,
}

struct Snapshot {
  1: required i64 version,
  2: required list<Group> groups,
}

// Heartbeat section, entry host to leader.
enum Condition {
  LIVE = 1,
  SLOW = 2,
  BUSY = 3,
  SUSPECT = 4,
}

struct InstanceHealth {
  1: required string instance,
  2: required Condition condition,
  3: required i32 consecutive_failures,
  4: required i32 silence_ms,
  5: optional i32 latency_ms,
  6: optional bool in_recovery,
  7: optional i64 timeline,
  8: optional i64 lsn,
  9: optional i32 age_ms,
  // Where the log ends in an earlier timeline than the instance's.
  10: optional i64 log_timeline,
}

struct GroupHealth {
  1: required string group,
  2: required list<InstanceHealth> instances,
  3: required bool is_stalled,
}

// The highest position at which an entry host has answered a commit of a group
// as done, under the term that it knows.
struct Acknowledged {
  1: required string group,
  2: required i64 timeline,
  3: required i64 lsn,
}

struct Report {
  1: required i64 acknowledged_version,
  2: required i64 sent_ms,
  3: required i32 round_trip_ms,
  4: required list<GroupHealth> health,
  5: optional list<string> used_groups,
  6: optional list<Acknowledged> acknowledged,
}

// Heartbeat section, leader to entry host. `instance` counts in the order of
// the group's agreed instances; `elapsed_ms` is to be added to each age.
struct Observation {
  1: required i8 instance,
  2: required bool is_usable,
  3: optional i64 timeline,
  4: optional i64 lsn,
  5: optional i32 age_ms,
  6: optional i64 log_timeline,
}

struct GroupObservation {
  1: required string group,
  2: required list<Observation> instances,
  3: required i32 elapsed_ms,
}

struct Answer {
  1: required i64 version,
  2: required list<Group> changed,
  3: required bool knows_used_groups,
  4: optional list<string> watched_groups,
  5: optional list<GroupObservation> observations,
}
