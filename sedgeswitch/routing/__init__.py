"""Policies that choose the instance on which a statement runs."""
