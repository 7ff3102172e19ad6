"""The key-value port over the etcd v3 HTTP/JSON gateway."""
