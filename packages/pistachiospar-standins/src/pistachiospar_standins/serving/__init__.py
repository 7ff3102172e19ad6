"""Parts of HTTP serving that all stand-ins share."""
