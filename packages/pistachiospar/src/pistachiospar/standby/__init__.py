"""Standby: an idle process for instances that must run a program."""
