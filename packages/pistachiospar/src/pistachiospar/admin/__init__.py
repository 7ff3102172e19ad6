"""The admin port of each process: health, state, metrics, decisions."""
