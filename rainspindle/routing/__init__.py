"""The facade round the decision module, and the coroutines that relay exchanges by its answers."""
