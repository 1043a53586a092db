namespace py sedgeswitch.routing.generated

// From an entry host to the leader: the version of the verdicts that it knows, and the
// instances that it holds and calls unhealthy. `unhealthy` is absent unless it has
// changed, or is to be renewed.
struct HealthReport {
  1: required i64 epoch,
  2: required i64 version,
  3: optional list<string> unhealthy,
}

// From the leader: how many holders call each instance unhealthy; absent if the host
// knows it. `epoch` identifies the leadership to which `version` belongs.
struct HealthAnswer {
  1: required i64 epoch,
  2: required i64 version,
  3: optional map<string, i32> unhealthy,
}
