"""Handling of a single request."""
