"""Grant or refuse the vote requests of candidates."""

from cranberryrill.replication import member, replication_pb2


class Voter:
    """Grant at most one vote per term, and none during a leader's lease."""

    def __init__(self, local: member.Member) -> None:
        self.member = local

    async def vote(
        self,
        request: replication_pb2.VoteRequest,
        now: float,
    ) -> bool:
        """Return whether the vote is granted, once it is stored.

        A trial request changes nothing. The caller holds the disk lock.
        """
        local = self.member
        if not request.identity or request.group_id != local.group.id:
            return False
        if request.term < local.term or not local.may_vote(now):
            return False
        if request.trial:
            return local.has_current_log(request)
        if request.term > local.term:
            local.step_down('')
            await local.store.save_ballot(request.term, '')
        can_vote = local.store.ballot.voted_for in {'', request.identity}
        if not can_vote or not local.has_current_log(request):
            return False
        await local.store.save_ballot(request.term, request.identity)
        local.voted_at = now
        return True
