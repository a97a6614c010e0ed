"""Connections to callers, endpoints, operators and other routers."""
