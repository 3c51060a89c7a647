"""Stand-ins for the outside systems: databases and platform."""
