"""Commands of the binary ``guavabarrow``, one class for each noun."""
