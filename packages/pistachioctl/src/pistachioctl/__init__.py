"""Support the operator's shell of pistachiospar."""
