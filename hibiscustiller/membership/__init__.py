"""Which routers and backend servers are live, leaving or suspected."""
