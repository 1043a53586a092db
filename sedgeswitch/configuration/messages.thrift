namespace py sedgeswitch.configuration.generated

// One accepted change: its operations as JSON, and the hash of the resulting
// document, by which a host detects that its own result differs.
struct Delta {
  1: required i64 version,
  2: required binary operations,
  3: required string document_hash,
}

// Configuration section of a heartbeat: the version that the entry host uses, and
// whether it needs the whole document because it could not apply the deltas.
struct ConfigurationReport {
  1: required i64 report_id,
  2: required i64 version,
  3: required bool wants_document,
}

// The leader's answer: its version, and for an outdated entry host the deltas since
// the reported version or the whole document.
struct ConfigurationAnswer {
  1: required i64 report_id,
  2: required i64 version,
  3: optional list<Delta> deltas,
  4: optional binary document,
}
