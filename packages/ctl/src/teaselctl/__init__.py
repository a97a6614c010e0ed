"""Command-line tool for operators of a router fleet."""
