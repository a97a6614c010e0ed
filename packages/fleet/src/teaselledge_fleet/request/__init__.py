"""What lives as long as one request."""
