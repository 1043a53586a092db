"""Statements and transactions that callers send over HTTP to an entry host."""
