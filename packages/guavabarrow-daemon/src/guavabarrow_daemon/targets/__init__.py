"""Connections to targets that carry one session at a time."""
