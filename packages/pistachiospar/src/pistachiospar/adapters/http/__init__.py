"""HTTP/1.1 over h11 and trio, both sides."""
