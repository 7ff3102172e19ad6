"""Helpers of the features: cases over the fakes, in virtual time."""
