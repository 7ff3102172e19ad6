"""Duties: tasks that one gateway at a time carries out for all."""
