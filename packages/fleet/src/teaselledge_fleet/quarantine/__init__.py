"""Requests that end the endpoints that run them, and are refused from then on."""
