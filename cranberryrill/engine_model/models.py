"""Models of all upstreams that one entry knows."""

from collections import abc

from cranberryrill.engine_model import service_model, upstream_model
from cranberryrill.traffic import document


class Models:
    """Models of services, from which those of their upstreams are made."""

    def __init__(self) -> None:
        self.services: dict[str, service_model.ServiceModel] = {}

    def configure(self, services: abc.Iterable[document.Service]) -> None:
        """Apply the configured engines of services."""
        for service in services:
            if service.engine is not None:
                self.service(service.name).set_tokens_per_event(
                    service.engine.tokens_per_event
                )

    def service(self, name: str) -> service_model.ServiceModel:
        """Return the model of a service, created on first use."""
        if name not in self.services:
            self.services[name] = service_model.ServiceModel()
        return self.services[name]

    def new_upstream(self, service: str) -> upstream_model.UpstreamModel:
        """Return a model of an upstream without measurements."""
        return upstream_model.UpstreamModel(self.service(service))
