"""Stand-ins of the second review: store, executors, advisor and machine service on loopback."""
