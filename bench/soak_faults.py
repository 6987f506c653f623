"""Random faults of a fleet's processes, links, clocks and disks."""

import asyncio
import collections
import random
import signal
import time

from bench import faulty_link, fleet

PAUSE_SECONDS = (0.2, 1.2)
FAULT_SECONDS = (0.5, 3.0)
CLOCK_SHIFT_SECONDS = (-40.0, 40.0)
# Number of faults that may overlap, each of a different VM.
CONCURRENT_FAULTS = 2
# A second member may lose its disk only once the first is a voter again. If
# that takes longer than this, no further disk is lost.
READMISSION_TIMEOUT_SECONDS = 20.0
READMISSION_POLL_SECONDS = 0.2
ADMISSION_EVENT = '"change of voters"'


class FleetFaultInjector:
    """Sample faults of a fleet and apply them, several at a time.

    The names of the private methods in `_loop` are the names of the faults:
    `fault_counts` counts them, and their order decides what a seed samples.
    """

    def __init__(
        self,
        target: fleet.Fleet,
        rng: random.Random,
        fault_counts: collections.Counter[str],
    ) -> None:
        self.fleet = target
        self.rng = rng
        self.fault_counts = fault_counts
        self.replica_links: list[faulty_link.Link] = []
        self.peer_links: dict[str, faulty_link.Link] = {}
        # Monotonic time at which a VM's last fault ended. Answer times of a VM
        # are not checked while it has a fault.
        self.last_fault_ended_at: dict[str, float] = {}
        self.under_fault: set[str] = set()
        self.may_wipe = True
        self.unexpected_exits: list[str] = []

    async def run(self, seconds: float) -> None:
        """Apply faults for a time, then restart processes that have ended."""
        deadline = time.monotonic() + seconds
        await asyncio.gather(
            *(self._loop(deadline) for _ in range(CONCURRENT_FAULTS))
        )
        for vm in (*self.fleet.members, *self.fleet.entries):
            self._restart(vm)

    def had_fault_since(self, vm: fleet.Vm, since: float) -> bool:
        """Return whether a VM had a fault at or after a monotonic time."""
        if vm.name in self.under_fault:
            return True
        return self.last_fault_ended_at.get(vm.name, 0) > since

    async def _loop(self, deadline: float) -> None:
        fault_kinds = (
            self._kill,
            self._stop,
            self._insist,
            self._reload,
            self._freeze,
            self._wipe,
            self._clock,
            self._disk,
            self._full_start,
            self._replica_link,
            self._peer_link,
        )
        while time.monotonic() < deadline:
            await asyncio.sleep(self.rng.uniform(*PAUSE_SECONDS))
            fault = self.rng.choice(fault_kinds)
            vm = self._choose_vm()
            self.under_fault.add(vm.name)
            self.fault_counts[fault.__name__.strip('_')] += 1
            await fault(vm)
            self.under_fault.discard(vm.name)
            self.last_fault_ended_at[vm.name] = time.monotonic()

    def _choose_vm(self) -> fleet.Vm:
        vms = [*self.fleet.members, *self.fleet.entries]
        return self.rng.choice(
            [vm for vm in vms if vm.name not in self.under_fault]
        )

    def _restart(self, vm: fleet.Vm) -> None:
        """Start a process again that a SIGHUP ended before it could handle it.

        Any other end of a process is recorded as unexpected.
        """
        process = self.fleet.processes_by_name[vm.name]
        if process.is_running():
            return
        code = process.wait()
        if code != -signal.SIGHUP:
            self.unexpected_exits.append(
                f'{vm.name} exited unexpectedly with {code}'
            )
        self.fleet.start(vm)

    async def _kill(self, vm: fleet.Vm) -> None:
        self.fleet.processes_by_name[vm.name].kill()
        self.fleet.start(vm)

    async def _stop(self, vm: fleet.Vm) -> None:
        process = self.fleet.processes_by_name[vm.name]
        process.send(signal.SIGTERM)
        await asyncio.to_thread(process.wait)
        self.fleet.start(vm)

    async def _insist(self, vm: fleet.Vm) -> None:
        """Send signals that overlap: reload, stop, freeze, resume, stop."""
        process = self.fleet.processes_by_name[vm.name]
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGSTOP):
            process.send(number)
            await asyncio.sleep(self.rng.random() * 0.2)
        process.send(signal.SIGCONT)
        process.send(signal.SIGTERM)
        await asyncio.to_thread(process.wait)
        self.fleet.start(vm)

    async def _reload(self, vm: fleet.Vm) -> None:
        for _ in range(3):
            self.fleet.processes_by_name[vm.name].send(signal.SIGHUP)

    async def _freeze(self, vm: fleet.Vm) -> None:
        process = self.fleet.processes_by_name[vm.name]
        process.send(signal.SIGSTOP)
        await self._wait_fault_duration()
        process.send(signal.SIGCONT)

    async def _wipe(self, vm: fleet.Vm) -> None:
        if vm.role != 'control' or not self.may_wipe:
            return
        self.may_wipe = False
        self.fleet.processes_by_name[vm.name].kill()
        self.fleet.delete_data(vm)
        admissions_before = self._count_admissions(vm)
        self.fleet.start(vm)
        deadline = time.monotonic() + READMISSION_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            await asyncio.sleep(READMISSION_POLL_SECONDS)
            if self._count_admissions(vm) > admissions_before:
                self.may_wipe = True
                return

    async def _clock(self, vm: fleet.Vm) -> None:
        shift = self.rng.uniform(*CLOCK_SHIFT_SECONDS)
        path = self.fleet.fault_folder(vm) / 'clock'
        path.write_text(str(shift))
        await self._wait_fault_duration()
        path.unlink()

    async def _disk(self, vm: fleet.Vm) -> None:
        path = self.fleet.fault_folder(vm) / self.rng.choice(('full', 'slow'))
        path.touch()
        await self._wait_fault_duration()
        path.unlink()

    async def _full_start(self, vm: fleet.Vm) -> None:
        """Restart a process on a full disk, which has space again later."""
        path = self.fleet.fault_folder(vm) / 'full'
        self.fleet.processes_by_name[vm.name].kill()
        path.touch()
        self.fleet.start(vm)
        await self._wait_fault_duration()
        path.unlink()

    async def _replica_link(self, vm: fleet.Vm) -> None:
        await self._disturb_link(self.rng.choice(self.replica_links))

    async def _peer_link(self, vm: fleet.Vm) -> None:
        await self._disturb_link(self.peer_links[vm.name])

    async def _disturb_link(self, link: faulty_link.Link) -> None:
        link.fault = self.rng.choice(list(faulty_link.LinkFault))
        await self._wait_fault_duration()
        link.fault = faulty_link.LinkFault.none

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self.rng.uniform(*FAULT_SECONDS))

    def _count_admissions(self, vm: fleet.Vm) -> int:
        """Count in the members' logs how often a member was made a voter."""
        lines = [
            line
            for member in self.fleet.members
            for line in self.fleet.read_log(member).splitlines()
            if ADMISSION_EVENT in line
        ]
        peer = f'"peer": "{vm.host}"'
        return sum(
            peer in line and '"admit"' in line and '"ok"' in line
            for line in lines
        )
