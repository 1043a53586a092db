"""The replicated log that the control hosts agree on."""
