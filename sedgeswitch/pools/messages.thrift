namespace py sedgeswitch.pools.generated

// A caller's request, forwarded to the entry host that owns its transaction. It
// contains the organisation of the caller's key, but not the key itself.
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

// A host's share of the connections of each instance is 1 / `divisor`; a divisor of
// 0 means no connections. A report contains the share that the host does not exceed,
// an answer the share that it may use from now on.
struct ShareReport {
  1: required i32 divisor,
}

struct ShareAnswer {
  1: required i32 divisor,
}
