"""The HTTP server for callers (clients of the proxy) and operators."""
