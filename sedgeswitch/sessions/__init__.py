"""Read-your-writes consistency over any entry host."""
