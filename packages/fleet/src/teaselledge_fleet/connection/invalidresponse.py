"""The error that ends the parsing of an endpoint's response."""

__all__ = ["InvalidResponseError"]


class InvalidResponseError(Exception):
    """A response is not valid HTTP/1.1, or its connection closed before its end."""
