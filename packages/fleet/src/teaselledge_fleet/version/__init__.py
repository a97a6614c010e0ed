"""What lives as long as one version of the configuration."""
