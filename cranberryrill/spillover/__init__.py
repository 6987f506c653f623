"""Decide which requests leave their data centre, and for which other one."""
