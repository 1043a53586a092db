namespace py sedgeswitch.sessions.generated

// The floor of a session: the position that its next read must have reached.
// `session` is a 63-bit hash of organisation, session name and group. Two sessions
// with the same hash share the higher floor, which is safe.
struct FloorRecord {
  1: required i64 session,
  2: required string group,
  3: required i64 timeline,
  4: required i64 lsn,
}

// Records the positions of writes at a replica.
struct RecordFloors {
  1: required list<FloorRecord> records,
}

// Empty: an answer confirms that every record is stored.
struct RecordFloorsAnswer {
}

// A replica with an older version of the members than the sender's answers that the
// floor is not known: the bucket may have been assigned to another host in a version
// that it has not received yet.
struct FloorQuery {
  1: required i64 session,
  2: required string group,
  3: required i64 members_version,
}

struct QueryFloors {
  1: required list<FloorQuery> queries,
}

// `is_known` is false if the replica may lack writes, for example because the bucket
// was assigned to it only recently.
struct FloorAnswer {
  1: required bool is_known,
  2: optional i64 timeline,
  3: optional i64 lsn,
}

struct QueryFloorsAnswer {
  1: required list<FloorAnswer> answers,
}
