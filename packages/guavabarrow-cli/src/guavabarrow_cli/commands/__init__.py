"""Commands of the ``guavabarrow`` executable, one class or function per noun."""
