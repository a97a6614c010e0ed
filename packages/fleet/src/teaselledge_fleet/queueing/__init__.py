"""Queue in front of the engines: requests wait until the coordinator grants a place."""
