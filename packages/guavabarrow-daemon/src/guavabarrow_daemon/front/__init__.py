"""Callers whose session is a connection."""
