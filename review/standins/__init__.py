"""Stand-ins of clients, executors and the platform for the cases of the review.

They use the standard library only, speak HTTP/1.1 with JSON bodies on loopback addresses, and run in
one process beside the schedulers, which are separate processes.
"""
