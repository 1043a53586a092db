namespace py sedgeswitch.pools.generated

// A caller's request, sent on to the entry host that owns its transaction. The
// caller's key stays behind; the organisation that it belongs to goes along.
struct ForwardedRequest {
  1: required string method,
  2: required string path,
  3: required map<string, string> headers,
  4: required binary body,
  5: optional string organisation,
}

struct ForwardedResponse {
  1: required i32 status,
  2: required string content_type,
  3: required map<string, string> headers,
  4: required binary body,
}

// A host's share of every instance's connections is one part in `divisor`; 0
// is no connection at all.
struct ShareReport {
  1: required i32 divisor,
}

struct ShareAnswer {
  1: required i32 divisor,
}
