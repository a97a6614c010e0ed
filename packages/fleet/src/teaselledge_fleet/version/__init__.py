"""Versions of the routing configuration."""
