"""What touches sockets, each kind behind an abstract base class."""
