"""State that the conductors of a fleet share, within bounds that hold when part of it hears nothing."""
