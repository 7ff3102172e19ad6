"""Pool holders: at most one gateway per pool, by lease and fencing token."""
