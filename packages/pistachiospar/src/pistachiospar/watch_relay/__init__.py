"""Watch relay: a few gateways watch the store and inform the others."""
