"""The link: h11 for requests, frames over TCP for control."""
