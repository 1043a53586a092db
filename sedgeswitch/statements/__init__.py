"""The path of a statement through an entry host."""
