"""Plain services, and the calls common to all upstreams, over HTTP."""
