/**
 * Fleet-wide limits without a call per request.
 *
 * Every VM counts what it admitted for each workspace and tells the others the running totals. Each VM
 * charges its own buckets with what the others admitted, so all converge on the same level, late by one
 * report. A VM that does not hear from some members uses only the part of the rate and burst that falls
 * to those it hears: the groups of a partition together stay at the whole rate.
 */
package org.guavapath.core.quota

import org.guavapath.core.fleet.FleetWorkspace
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The answer to a request for admission. */
public sealed class QuotaVerdict {
    /** The request may run; its cost is charged. */
    public data object Admitted : QuotaVerdict()

    /**
     * The workspace is at its limit.
     *
     * @property retryAfter when enough will have been refilled
     * @property bucket what this VM believed of the workspace's bucket
     */
    public data class Exhausted(public val retryAfter: Duration, public val bucket: BucketReading) : QuotaVerdict()
}

/**
 * The limits of all workspaces on one VM.
 *
 * @param startedAt when this process started
 * @param isFirstStart whether the whole fleet starts for the first time, so that nothing was used before
 */
public class FleetQuota(private val startedAt: MonotonicTime, private val isFirstStart: Boolean) {
    private class PeerTotals(var incarnation: Incarnation, var heardAt: MonotonicTime) {
        val totals = HashMap<WorkspaceName, Long>()
    }

    private val buckets = HashMap<WorkspaceName, SharedBucket>()
    private val admitted = HashMap<WorkspaceName, Long>()
    private val told = HashMap<WorkspaceName, Long>()
    private val peers = HashMap<VmId, PeerTotals>()
    private var members = emptySet<VmId>()

    /** Whether this VM admitted so much that was not told that the others should hear of it at once. */
    public val hasUrgentNews: Boolean
        get() = admitted.any { (workspace, total) ->
            val untold = Math.abs(total - (told[workspace] ?: 0))
            untold > 0 && untold >= (buckets[workspace]?.urgentAmount ?: 0.0)
        }

    /** Returns the totals for a report to the other VMs. */
    public fun tell(): Map<WorkspaceName, Long> {
        told.putAll(admitted)
        return admitted.toMap()
    }

    /** Takes over the limits of [workspaces]. */
    public fun configure(workspaces: List<FleetWorkspace>, now: MonotonicTime) {
        val names = workspaces.map { it.name }.toSet()
        buckets.keys.retainAll(names)
        workspaces.forEach { workspace ->
            val bucket = buckets.getOrPut(workspace.name) { SharedBucket(now, isFirstStart) }
            bucket.configure(workspace.ratePerSecond, workspace.burst, now)
        }
    }

    /** Takes over the other VMs of the fleet. */
    public fun setMembers(others: Set<VmId>) {
        members = others
        peers.keys.retainAll(others)
    }

    /** Charges what [peer] admitted since its last report; the first report of an incarnation is the base. */
    public fun report(peer: VmId, incarnation: Incarnation, totals: Map<WorkspaceName, Long>, now: MonotonicTime) {
        val known = peers[peer]
        val entry = when {
            known == null -> PeerTotals(incarnation, now).also { it.totals.putAll(totals) }
            known.incarnation != incarnation -> PeerTotals(incarnation, now)
            else -> known
        }
        peers[peer] = entry
        entry.heardAt = now
        totals.forEach { (workspace, total) ->
            val before = entry.totals.put(workspace, total) ?: 0
            val bucket = buckets[workspace]
            if (total >= before) bucket?.charge(total - before, now) else bucket?.refund(before - total)
        }
    }

    /** Asks to admit a request of [workspace]. */
    public fun admit(workspace: WorkspaceName, cost: RequestCost, now: MonotonicTime): QuotaVerdict {
        val bucket = buckets[workspace] ?: return QuotaVerdict.Admitted
        bucket.limitTo(reachableShare(now), now)
        return if (bucket.admit(cost, 1 + members.size, now)) {
            admitted.merge(workspace, cost.tokens, Long::plus)
            QuotaVerdict.Admitted
        } else {
            QuotaVerdict.Exhausted(bucket.untilOpen(now), bucket.reading)
        }
    }

    /** Gives back [tokens] of an admitted request that did not run. */
    public fun refund(workspace: WorkspaceName, tokens: Long) {
        val bucket = buckets[workspace] ?: return
        bucket.refund(tokens)
        admitted.merge(workspace, -tokens, Long::plus)
    }

    /** Part of the fleet that this VM hears, itself included, from 0 to 1. */
    public fun reachableShare(now: MonotonicTime): Double {
        if (members.isEmpty() || now - startedAt < SILENCE_LIMIT) return 1.0
        val heard = members.count { member -> peers[member]?.let { now - it.heardAt < SILENCE_LIMIT } ?: false }
        return (1.0 + heard) / (1.0 + members.size)
    }

    private companion object {
        /** Reports come every 250 ms; four missing ones in a row mean that the VM is cut off or gone. */
        val SILENCE_LIMIT = 1200.milliseconds
    }
}
