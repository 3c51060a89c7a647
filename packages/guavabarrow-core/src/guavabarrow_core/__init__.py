"""Coordination logic of guavabarrow, without I/O, clocks or global randomness.

Each component is a state machine: it takes typed events together with ``now``, in
seconds of a monotonic clock, and returns typed actions.
"""
