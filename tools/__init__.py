"""Development tools of the workspace."""
