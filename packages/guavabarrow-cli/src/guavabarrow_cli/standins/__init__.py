"""Stand-ins for external systems: databases, platform and network links."""
