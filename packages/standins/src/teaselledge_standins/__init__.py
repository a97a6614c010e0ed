"""Test doubles of endpoints and the platform, and tools to test the fleet."""
