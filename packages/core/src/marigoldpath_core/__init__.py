"""Scheduling decisions and state, without input or output."""
