"""Command line of guavabarrow: operator commands, stand-ins, load and experiments."""
