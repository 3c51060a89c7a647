"""Mutations of the core that must make its tests fail."""
