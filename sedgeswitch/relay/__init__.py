"""Sessions that are connections: their statements are forwarded as they are."""
