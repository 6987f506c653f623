"""Queue of requests that wait for an upstream, with admission control."""
