"""A router fleet that shares endpoints fairly between organisations."""

__all__ = ["__version__"]

__version__ = "0.1.0"
