"""Admission of plain calls to instances that can't take all of them."""
