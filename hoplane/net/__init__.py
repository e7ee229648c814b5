"""The runtime: performs the reducer's effects on sockets and feeds back what comes of them."""
