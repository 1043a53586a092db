"""Relaying of callers' statements to backend servers within a caller's session.

A session lasts as long as the caller's connection. Statements are forwarded unchanged.
"""
