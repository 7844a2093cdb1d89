"""The owner of a service: its election, its term, and all that it does during the term."""
