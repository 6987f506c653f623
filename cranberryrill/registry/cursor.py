"""Incremental updates of the registry for one watcher."""

from cranberryrill.registry import registry_pb2, table


class Cursor:
    """The registrations that one watcher has been sent."""

    def __init__(self) -> None:
        self.sent: dict[str, registry_pb2.Registration] = {}
        # Table version of the last update; -1 before the first one.
        self.version = -1

    def next_update(
        self, registry: table.RegistrationTable
    ) -> registry_pb2.RegistryUpdate | None:
        """Return the changes since the last update, or None without any.

        The first update is full: it contains every registration.
        """
        if registry.version == self.version:
            return None
        full = self.version < 0
        self.version = registry.version
        present = registry.registrations()
        update = registry_pb2.RegistryUpdate(
            full=full,
            present=[
                registration
                for name, registration in present.items()
                if name not in self.sent
                or table.routing_differs(self.sent[name], registration)
            ],
            gone=[name for name in self.sent if name not in present],
        )
        self.sent = present
        return update
