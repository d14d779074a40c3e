/**
 * Admission control by workspace limits on one VM, without calls to the platform.
 *
 * A request is charged its whole cost before it runs. A VM whose bucket is short borrows for this request from the
 * owners of the workspace's other slots. The lender debits its bucket before it answers, so a lost message loses tokens
 * and never adds any. Loans are used within [ADMISSION_SPAN] of the first ask or handed back. Requests of one workspace
 * are queued in order, so that small requests do not overtake a large one; between VMs, the request that has waited
 * longer goes first.
 */
package org.guavapath.core.limits

import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.results.Invariant
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration

/**
 * State machine for the limits of all workspaces on one VM. It handles messages and returns effects.
 *
 * @param self this VM
 * @param incarnation this run of its daemon
 * @param maxWait the maximum time that a request may wait for tokens
 */
public class WorkspaceLimiter(
    private val self: VmId,
    incarnation: Incarnation,
    private val maxWait: Duration,
) {
    private val workspaces = mutableMapOf<WorkspaceName, WorkspaceTokens>()
    private val charges = mutableMapOf<RequestId, Charge>()
    private val borrower = Borrower(self, incarnation)
    private val lender = Lender()
    private var usableSlots = emptySet<Int>()
    private var table = SlotTable.EMPTY

    /** Whether any request is waiting for tokens, in which case [tick] must be called every few milliseconds. */
    public val hasWaiting: Boolean get() = workspaces.values.any { it.queue.isNotEmpty() }

    /** Replaces the limits of all workspaces. A workspace not in [limits] admits nothing. */
    public fun configure(limits: Map<WorkspaceName, WorkspaceLimit>, now: MonotonicTime): List<LimitEffect> {
        val removed = workspaces.values.filter { it.name !in limits }
        workspaces.keys.removeAll(removed.map { it.name }.toSet())
        limits.forEach { (name, limit) ->
            val tokens = workspaces.getOrPut(name) {
                WorkspaceTokens(name, limit, now).also { it.updateSlots(usableSlots, table, self, now) }
            }
            if (tokens.limit != limit) tokens.changeLimit(limit, now)
        }
        return removed.flatMap { tokens ->
            borrower.stop(tokens, now) +
                tokens.queue.map { LimitEffect.Decide(it.request.id, AdmissionVerdict.WorkspaceUnknown) }
        }
    }

    /** Sets the slots that this VM may use, and the table with the owners of the other slots. */
    public fun updateSlots(usable: Set<Int>, current: SlotTable, now: MonotonicTime) {
        usableSlots = usable
        table = current
        workspaces.values.forEach { it.updateSlots(usable, current, self, now) }
    }

    /** Ends all acquisitions in progress and hands back their tokens; called after a pause of this VM was detected. */
    public fun abandonAcquisitions(now: MonotonicTime): List<LimitEffect> =
        workspaces.values.flatMap { borrower.stop(it, now) }

    /** Returns the level of this VM's bucket of [workspace] in tokens, or 0 if it is not configured. */
    public fun level(workspace: WorkspaceName, now: MonotonicTime): Long =
        workspaces[workspace]?.bucket?.level(now) ?: 0

    /** Requests admission of [request]; the verdict is among the effects of this call or of a later one. */
    public fun admit(request: AdmissionRequest, now: MonotonicTime): List<LimitEffect> {
        val tokens = workspaces[request.workspace]
        val verdict = when (tokens) {
            null -> AdmissionVerdict.WorkspaceUnknown
            else -> tokens.immediateRefusal(request, maxWait)
        }
        if (tokens == null || verdict != null) return listOfNotNull(verdict?.let { LimitEffect.Decide(request.id, it) })
        tokens.queue.addLast(WaitingRequest(request, now, now + maxWait))
        return advance(tokens, now)
    }

    /** Settles an admitted request that used [usedTokens]: refunds unused tokens or charges the excess. Idempotent. */
    public fun settle(request: RequestId, usedTokens: Long, now: MonotonicTime): List<LimitEffect> {
        val charge = charges.remove(request) ?: return emptyList()
        val tokens = workspaces[charge.workspace]
        if (usedTokens > charge.total) tokens?.bucket?.overdraw(usedTokens - charge.total, now)
        val refund = maxOf(0, charge.total - usedTokens)
        val ownRefund = minOf(refund, charge.ownTokens)
        if (ownRefund > 0 && charge.ownMark != null) tokens?.bucket?.refund(charge.ownMark, ownRefund, now)
        return borrower.handBack(charge.borrowed, refund - ownRefund) + advance(tokens, now)
    }

    /** Handles [message] from the VM [from]. */
    public fun receive(from: VmId, message: LimitMessage, now: MonotonicTime): List<LimitEffect> = when (message) {
        is LimitMessage.LoanAsk -> lender.lend(from, message, workspaces[message.workspace], now)
        is LimitMessage.LoanAnswer -> {
            val effects = borrower.accept(from, message, now)
            effects + workspaces.values.filter { it.acquisition?.isComplete == true }.flatMap { advance(it, now) }
        }
        is LimitMessage.HandBack -> advance(lender.acceptHandBack(message, workspaces, now), now)
    }

    /** Handles expired requests, acquisition timeouts and retries that are due. */
    public fun tick(now: MonotonicTime): List<LimitEffect> {
        lender.expire(now)
        borrower.expire(now)
        return workspaces.values
            .filter { it.queue.isNotEmpty() }
            .flatMap { borrower.expireWaiting(it, now) + advance(it, now) }
    }

    /** Admits queued requests in order for as long as tokens suffice. */
    private fun advance(tokens: WorkspaceTokens?, now: MonotonicTime): List<LimitEffect> {
        val effects = mutableListOf<LimitEffect>()
        while (tokens != null && tokens.canStart(now)) {
            if (tokens.acquisition == null) effects += borrower.start(tokens, now)
            val acquisition = tokens.acquisition
            when {
                acquisition == null -> Unit
                now - acquisition.startedAt > ADMISSION_SPAN -> effects += borrower.failAcquisition(tokens, now)
                acquisition.isComplete -> effects += finish(tokens, acquisition)
                else -> return effects
            }
        }
        return effects
    }

    private fun finish(tokens: WorkspaceTokens, acquisition: TokenAcquisition): LimitEffect {
        val request = tokens.queue.removeFirst().request
        val charge = acquisition.toCharge(tokens.name)
        Invariant.check("charge-covers-cost", charge.total >= request.tokens) {
            "request ${request.id} costs ${request.tokens} tokens and was charged ${charge.total}"
        }
        tokens.acquisition = null
        charges[request.id] = charge
        return LimitEffect.Decide(request.id, AdmissionVerdict.Admitted)
    }
}
