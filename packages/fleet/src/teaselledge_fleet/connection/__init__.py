"""What lives as long as one connection."""
