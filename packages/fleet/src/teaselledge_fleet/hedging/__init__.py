"""Hedged requests: a second attempt at a request whose response is late."""
