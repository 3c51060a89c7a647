"""Coordination of VMs through peer messages and the shared store."""
