"""Interface to database groups."""
