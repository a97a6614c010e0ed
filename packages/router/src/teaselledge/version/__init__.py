"""Versions of the configuration: how they are stored, checked and distributed."""
