"""Redirect callers of control to members that store its state."""
