namespace py sedgeswitch.configuration.generated

// One accepted change: the operations as JSON, and the hash of the whole
// document after them, so that a host that applies them otherwise notices.
struct Delta {
  1: required i64 version,
  2: required binary operations,
  3: required string document_hash,
}

// Heartbeat section of an entry host: which version is in force there.
struct ConfigurationReport {
  1: required i64 report_id,
  2: required i64 version,
  3: required bool wants_document,
}

// The leader's answer: nothing, the deltas since the reported version, or the
// whole document.
struct ConfigurationAnswer {
  1: required i64 report_id,
  2: required i64 version,
  3: optional list<Delta> deltas,
  4: optional binary document,
}
