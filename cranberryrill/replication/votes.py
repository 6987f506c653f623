"""Decide on votes."""

from cranberryrill.replication import member, replication_pb2


class Voter:
    """Grant at most one vote in each term, and none against a lease."""

    def __init__(self, local: member.Member) -> None:
        self.member = local

    async def vote(
        self,
        request: replication_pb2.VoteRequest,
        now: float,
    ) -> bool:
        """Grant or refuse a vote; the caller holds the disk lock."""
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
        free = local.store.ballot.voted_for in {'', request.identity}
        if not free or not local.has_current_log(request):
            return False
        await local.store.save_ballot(request.term, request.identity)
        local.voted_at = now
        return True
