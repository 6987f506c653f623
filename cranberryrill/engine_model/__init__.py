"""Models of the speed and the free memory of upstreams."""
