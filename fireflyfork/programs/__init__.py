"""The command-line programs: settings, wiring and signals."""
