"""Connections to targets over two protocols, behind the same abstract classes."""
