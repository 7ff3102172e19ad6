"""Support small stand-ins for the platform, for the demo and the tests."""
