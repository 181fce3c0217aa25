"""Site selection: which site handles a request, and how many requests of other sites a site admits."""
