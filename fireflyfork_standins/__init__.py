"""Small stand-ins for what the platform gives. The product never imports this package."""
