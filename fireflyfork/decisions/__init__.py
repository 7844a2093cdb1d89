"""Pure decisions: immutable state, an event and the time in; new state and commands out."""
