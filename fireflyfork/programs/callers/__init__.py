"""What callers ask of an instance about their jobs, over HTTP and without."""
