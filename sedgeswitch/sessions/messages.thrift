namespace py sedgeswitch.sessions.generated

// A session is named by a 64-bit hash of organisation, household and group. Two
// sessions with one hash share the higher floor, which is safe.
struct FloorRecord {
  1: required i64 session,
  2: required string group,
  3: required i64 timeline,
  4: required i64 lsn,
}

struct RecordFloors {
  1: required list<FloorRecord> records,
}

struct RecordFloorsAnswer {
}

// A home that follows older members than the asking host does not answer: it may
// have lost the bucket meanwhile without having heard of it.
struct FloorQuery {
  1: required i64 session,
  2: required string group,
  3: required i64 members_version,
}

struct QueryFloors {
  1: required list<FloorQuery> queries,
}

// A home that does not know says so: it may have become a home just now.
struct FloorAnswer {
  1: required bool is_known,
  2: optional i64 timeline,
  3: optional i64 lsn,
}

struct QueryFloorsAnswer {
  1: required list<FloorAnswer> answers,
}
