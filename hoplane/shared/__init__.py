"""State that the conductors of a fleet share. Its bounds hold during a network partition too."""
