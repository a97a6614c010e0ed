"""A fleet of routers that serve routes and tell one another what they know."""
