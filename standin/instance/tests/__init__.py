"""Tests of the stand-in instance."""
