"""Logs, metrics and diagnostics for operators."""
