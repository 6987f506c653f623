"""Orders to send nothing to the upstreams of a data centre."""
