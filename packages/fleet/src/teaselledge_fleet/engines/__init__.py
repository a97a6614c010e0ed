"""What routers learn about single engines: their speed and their backlog."""
