"""Randomized faults on real VM processes, checked by what callers and targets saw."""
