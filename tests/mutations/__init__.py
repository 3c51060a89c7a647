"""Edits that must turn tests red."""
