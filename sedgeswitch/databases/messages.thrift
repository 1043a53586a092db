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
  // Whether the answer may contain a difference from this version.
  2: optional bool accepts_difference,
  // Version of which the host has the first `part_offset` bytes of the source, 0 for
  // none. Not set by hosts that accept no parts of a source.
  3: optional i64 part_version,
  4: optional i64 part_offset,
}

// Heartbeat section, from the leader to an entry host. `source` is omitted if the
// host already has the version. `difference` takes its place if the host has version
// `base_version`: the text, compressed with that version's text as the dictionary. A
// long source is sent in parts: `part` are its bytes from `part_offset` on, and
// `source_bytes` is its length.
struct Answer {
  1: required i64 version,
  2: optional binary source,
  3: optional i64 base_version,
  4: optional binary difference,
  5: optional binary part,
  6: optional i64 part_offset,
  7: optional i64 source_bytes,
}
