"""Plain services and upstreams in general over HTTP."""
