"""Decoding, forwarding and state of one request."""
