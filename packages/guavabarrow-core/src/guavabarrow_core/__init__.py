"""Coordination parts of guavabarrow, free of sockets, clocks and global randomness.

Each part is a state machine: it takes typed events together with ``now`` in
seconds of a monotonic clock and returns typed actions.
"""
