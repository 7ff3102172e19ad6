"""The platform's list of instances, which lags behind."""
