"""A fleet of HTTP routers that share their state by gossip."""
