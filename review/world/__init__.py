"""Stand-ins of clients, instances, operator and platform for the cases of review 2."""
