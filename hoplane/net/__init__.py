"""Network layer: performs the reducer's effects on sockets and feeds the resulting events back to it."""
