"""What lives as long as the process."""
