"""The sedgeswitch command-line tool."""
