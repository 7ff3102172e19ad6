"""HTTP/1.1 client and server over h11 and trio."""
