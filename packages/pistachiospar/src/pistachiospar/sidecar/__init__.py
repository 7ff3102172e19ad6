"""The process beside an upstream instance; all its calls pass through it."""
