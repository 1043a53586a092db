"""Read-your-writes over any entry host."""
