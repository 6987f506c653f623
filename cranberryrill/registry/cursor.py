"""Incremental updates of the registry for one watcher."""

from cranberryrill.registry import records, registry_pb2, table


class Cursor:
    """The registrations that one watcher has been sent."""

    def __init__(self) -> None:
        self.sent: dict[str, registry_pb2.Registration] = {}
        # End of the cold time of each, as it was sent.
        self.sent_cold_ends: dict[str, float] = {}
        # Table version of the last update; -1 before the first one.
        self.version = -1
        # Whether the watcher has been sent a full update.
        self.is_synchronized = False

    def next_update(
        self, registry: table.RegistrationTable, now: float
    ) -> registry_pb2.RegistryUpdate | None:
        """Return the changes since the last update, or None without any.

        A full update contains every registration and replaces all that the
        watcher knew. It is sent once the table is complete. Until then the
        watcher keeps the upstreams that it knows from elsewhere, as a member
        that has restarted knows an upstream only from its next heartbeat on.
        """
        full = not self.is_synchronized and registry.is_complete(now)
        if registry.version == self.version and not full:
            return None
        self.version = registry.version
        self.is_synchronized = self.is_synchronized or full
        present = registry.registrations()
        cold_ends = registry.cold_ends()
        update = registry_pb2.RegistryUpdate(
            full=full,
            present=[
                table.with_cold_time(registration, cold_ends[name], now)
                for name, registration in present.items()
                if full
                or name not in self.sent
                or records.routing_differs(self.sent[name], registration)
                or cold_ends[name] > self.sent_cold_ends[name]
            ],
            gone=sorted(self._gone(registry, present)),
        )
        self.sent = present
        self.sent_cold_ends = cold_ends
        return update

    def _gone(
        self,
        registry: table.RegistrationTable,
        present: dict[str, registry_pb2.Registration],
    ) -> set[str]:
        gone = {name for name in self.sent if name not in present}
        return gone if self.is_synchronized else gone | registry.ended()
