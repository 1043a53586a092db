"""Logs, metrics, traces and the explanation of failed requests."""
