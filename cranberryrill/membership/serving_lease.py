"""Client of the control group in an entry or agent.

It receives the configuration state, and proofs that the state is current.
"""

import asyncio
import logging
import random
from collections import abc

from grpclib import client

from cranberryrill import clock, transport
from cranberryrill.certificates import roles
from cranberryrill.configuration import active
from cranberryrill.evacuation import withdrawal
from cranberryrill.membership import (
    membership_grpc,
    membership_pb2,
    timing,
)
from cranberryrill.quarantine import ledger
from cranberryrill.registry import registry_pb2
from cranberryrill.settings import quarantine_limits

LOGGER = logging.getLogger(__name__)
MILLISECONDS_PER_SECOND = 1000
MakeAnnouncement = abc.Callable[[], membership_pb2.Announcement]
WatchStream = client.Stream[membership_pb2.Renewal, membership_pb2.Push]


def lease_for_revocation(revocation_seconds: float) -> float:
    """Return the longest serving lease, in seconds, for a revocation time.

    A withdrawn key must stop working within `revocation_seconds`. The lease
    leaves time for requests on the way to an upstream, and for clock drift.
    """
    max_age_seconds = revocation_seconds - timing.MAX_FORWARDING_DELAY_SECONDS
    return min(
        timing.SERVING_LEASE_SECONDS,
        max_age_seconds / (1 + timing.CLOCK_DRIFT_RATIO),
    )


def initial_proved_at(now: float) -> float:
    """Return the initial `proved_at` of a watch that is opened at `now`.

    It lies in the past, so that the first proof is due within
    `FIRST_PROOF_TIMEOUT_SECONDS`.
    """
    return (
        now
        - timing.WATCH_PROOF_TIMEOUT_SECONDS
        + timing.FIRST_PROOF_TIMEOUT_SECONDS
    )


class Holder:
    """Local copy of the state, with the lease under which it may be used.

    It watches one control member at a time and switches to another when that
    one fails.

    `updated` is notified after each update of the state, the directory, the
    upstreams or the control members.
    """

    def __init__(
        self,
        dialer: transport.Dialer,
        control: abc.Sequence[transport.Address],
        make_announcement: MakeAnnouncement,
        rng: random.Random,
        quarantine: quarantine_limits.QuarantineLimits | None = None,
    ) -> None:
        self.dialer = dialer
        self.control_addresses = list(control)
        self.make_announcement = make_announcement
        self.rng = rng
        self.configuration = active.ActiveConfiguration()
        self.processes: dict[str, membership_pb2.Announcement] = {}
        self.upstreams: dict[str, registry_pb2.Registration] = {}
        # Evacuated data centres, as of the newest proof at least.
        self.withdrawal = withdrawal.Withdrawal()
        self.evidence = ledger.Ledger(
            quarantine or quarantine_limits.QuarantineLimits()
        )
        # Monotonic time at which the state was last proved to be current.
        self.fresh_as_of = float('-inf')
        # How long a proof is valid; a deployment's revocation time may shorten
        # it.
        self.lease_seconds = timing.SERVING_LEASE_SECONDS
        # When the current watch last delivered a newer proof; set by
        # `initial_proved_at` when a watch is opened.
        self.proved_at = float('-inf')
        # Identifier of the newest proof that the current watch delivered; 0
        # before the first one.
        self.proof_ms = 0
        # Called with the newest fencing number and the monotonic time at which
        # it was proved.
        self.on_fencing: abc.Callable[[int, float], None] | None = None
        self.updated = asyncio.Condition()
        # Set to send the next renewal at once.
        self.renew_now = asyncio.Event()
        # Set once this process has received its first proof.
        self.first_proof = asyncio.Event()

    def may_serve(self, now: float) -> bool:
        """Return whether the state is proved to be current at `now`."""
        return now < self.fresh_as_of + self.lease_seconds

    def agents_for(self, target: str) -> list[membership_pb2.Announcement]:
        """Return the agents that offer `target` and are not leaving."""
        return [
            announcement
            for announcement in self.processes.values()
            if announcement.role == membership_pb2.Role.AGENT
            and announcement.offer.target == target
            and not announcement.leaving
        ]

    def add_control_hosts(self, hosts: abc.Iterable[str]) -> None:
        """Add control members that are not in the list of addresses yet."""
        port = self.control_addresses[0].port
        known_hosts = {address.host for address in self.control_addresses}
        for host in hosts:
            if host not in known_hosts:
                self.control_addresses.append(transport.Address(host, port))

    def proof_timeout(self, now: float) -> float:
        """Return the seconds within which a newer proof must arrive.

        0 when it is overdue.
        """
        return max(self.proved_at + timing.WATCH_PROOF_TIMEOUT_SECONDS - now, 0)

    async def run(self) -> None:
        """Watch one control member after another, in random order."""
        self.rng.shuffle(self.control_addresses)
        while True:
            for address in list(self.control_addresses):
                await self._watch(address)
                await asyncio.sleep(timing.RETRY_DELAY_SECONDS)

    async def _watch(self, address: transport.Address) -> None:
        channel = self.dialer.dial(address, roles.Role.control)
        stub = membership_grpc.MembershipStub(channel)
        try:
            async with stub.Watch.open() as stream:
                await self._follow(stream)
        except transport.CALL_ERRORS as error:
            LOGGER.info(
                'watch ended',
                extra={'port': address.port, 'cause': type(error).__name__},
            )
        finally:
            channel.close()

    async def _follow(self, stream: WatchStream) -> None:
        sent_at: dict[int, float] = {}
        self.proved_at = initial_proved_at(clock.monotonic_seconds())
        self.proof_ms = 0
        await asyncio.wait_for(
            stream.send_request(), timing.FIRST_PROOF_TIMEOUT_SECONDS
        )
        renewal_task = asyncio.create_task(self._renew(stream, sent_at))
        try:
            while True:
                push = await asyncio.wait_for(
                    stream.recv_message(),
                    self.proof_timeout(clock.monotonic_seconds()),
                )
                if push is None:
                    return
                await self._handle(push, sent_at)
        finally:
            renewal_task.cancel()

    async def _renew(
        self,
        stream: WatchStream,
        sent_at: dict[int, float],
    ) -> None:
        sequence = 0
        shared_change = 0
        while True:
            sequence += 1
            now = clock.monotonic_seconds()
            sent_at[sequence] = now
            evidence = self.evidence.changes_since(shared_change, now)
            shared_change = self.evidence.change_number
            await stream.send_message(
                membership_pb2.Renewal(
                    sequence=sequence,
                    revision=self.configuration.revision,
                    announcement=self.make_announcement(),
                    evidence=evidence,
                ),
            )
            try:
                await asyncio.wait_for(
                    self.renew_now.wait(),
                    timing.RENEWAL_PERIOD_SECONDS,
                )
            except asyncio.TimeoutError:
                continue
            self.renew_now.clear()

    async def _handle(
        self,
        push: membership_pb2.Push,
        sent_at: dict[int, float],
    ) -> None:
        kind = push.WhichOneof('kind')
        if kind == 'grant':
            self._apply_grant(push.grant, sent_at, clock.monotonic_seconds())
            return
        if kind in {'evacuations', 'evidence'}:
            self._apply_restrictions(push, clock.monotonic_seconds())
        elif kind == 'state':
            self._apply_state(push.state)
        elif kind == 'registry':
            self._apply_upstreams(push.registry)
        elif kind == 'control':
            self.add_control_hosts(push.control.hosts)
        else:
            self._apply_directory(push.directory)
        async with self.updated:
            self.updated.notify_all()

    def _apply_restrictions(
        self, push: membership_pb2.Push, now: float
    ) -> None:
        """Apply evacuations, or evidence on prompt parts."""
        if push.WhichOneof('kind') == 'evidence':
            self.evidence.merge(push.evidence.parts, now)
            return
        # Without a lease this process may learn of them long after their
        # acknowledgement.
        self.withdrawal.apply(
            push.evacuations, now, at_once=not self.may_serve(now)
        )
        LOGGER.info(
            'evacuations known',
            extra={
                'data_centres': list(push.evacuations.data_centres),
                'index': push.evacuations.index,
            },
        )

    def _apply_grant(
        self,
        grant: membership_pb2.Grant,
        sent_at: dict[int, float],
        now: float,
    ) -> None:
        # The proof dates from when the renewal was sent, because the answer
        # may have been delayed.
        renewed_at = sent_at.pop(grant.sequence, None)
        if renewed_at is None or grant.revision < self.configuration.revision:
            return
        as_of = renewed_at - grant.age_ms / MILLISECONDS_PER_SECOND
        if as_of > self.fresh_as_of:
            self.fresh_as_of = as_of
            self.first_proof.set()
            if grant.proof_ms > self.proof_ms:
                self.proof_ms = grant.proof_ms
                self.proved_at = now
        if self.on_fencing is not None:
            self.on_fencing(grant.fencing, as_of)

    def _apply_state(self, update: membership_pb2.StateUpdate) -> None:
        if update.revision < self.configuration.revision:
            return
        if update.full:
            self.configuration.clear()
        self.configuration.update(update.revision, update.objects, update.keys)
        # Announce the revision at once: the author of the change may be
        # waiting until it is in force everywhere.
        self.renew_now.set()
        LOGGER.info('revision in force', extra={'revision': update.revision})

    def _apply_upstreams(self, update: registry_pb2.RegistryUpdate) -> None:
        if update.full:
            self.upstreams.clear()
        for registration in update.present:
            self.upstreams[registration.id] = registration
        for upstream in update.gone:
            self.upstreams.pop(upstream, None)
        LOGGER.info(
            'upstreams known',
            extra={
                'count': len(self.upstreams),
                'changed': len(update.present),
                'gone': list(update.gone),
            },
        )

    def _apply_directory(
        self,
        update: membership_pb2.DirectoryUpdate,
    ) -> None:
        if update.full:
            self.processes.clear()
        for announcement in update.present:
            self.processes[announcement.process] = announcement
        for process_name in update.gone:
            self.processes.pop(process_name, None)
