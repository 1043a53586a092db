"""Read-your-writes consistency over any entry host, by replicated session floors."""
