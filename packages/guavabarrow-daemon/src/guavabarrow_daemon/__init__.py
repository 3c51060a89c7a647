"""Entry VM process of the guavabarrow database proxy."""
