"""Connections to targets over HTTP and the line protocol, with common base classes."""
