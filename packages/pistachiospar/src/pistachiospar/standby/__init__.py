"""Standby: a process for instances that the platform wants occupied."""
