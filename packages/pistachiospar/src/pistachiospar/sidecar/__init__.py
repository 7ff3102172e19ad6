"""The process beside each upstream instance: the only door to it."""
