"""The sedgeswitch command-line tool of operators."""
