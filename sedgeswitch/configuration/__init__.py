"""Labels, selectors and organisations, changed by versioned deltas."""
