"""Use of each service by organisations, shared by the entries."""
