"""Send callers of control on to members that hold its state."""
