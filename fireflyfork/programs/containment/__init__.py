"""How far an error reaches that no part of the program foresees."""
