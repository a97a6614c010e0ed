"""Benchmarks of the fleet; `python -m bench` prints a JSON line for each case."""
