"""Operator commands, stand-ins and load tool of guavabarrow."""
