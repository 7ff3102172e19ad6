"""Numbers of instances, by upstream and zone."""
