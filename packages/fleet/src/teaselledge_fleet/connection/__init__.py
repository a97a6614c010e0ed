"""Connections to callers, endpoints and other routers."""
