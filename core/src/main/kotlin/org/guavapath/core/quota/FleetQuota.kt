/**
 * Fleet-wide limits without a call per request.
 *
 * Every VM counts what it admitted for each workspace and tells the others the running totals. Each VM
 * charges its own buckets with what the others admitted, so all converge on the same level, late by one
 * report. A VM that does not hear from some members uses only the part of the rate and burst that falls
 * to those it hears: the groups of a partition together stay at the whole rate.
 *
 * In a large fleet hubs pass the totals on: to other hubs the sum of their own and their members' admissions, to
 * each member the sum of all others'.
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
 * What one VM tells another of its admissions.
 *
 * @property incarnation incarnation of the VM that tells
 * @property totals admitted tokens by workspace since that VM started
 * @property vms number of VMs whose admissions are in the totals
 * @property isOfMember whether the VM that tells is a member of this one, which has to pass the report on
 */
public data class UsageReport(
    public val incarnation: Incarnation,
    public val totals: Map<WorkspaceName, Long>,
    public val vms: Int = 1,
    public val isOfMember: Boolean = false,
)

/**
 * The limits of all workspaces on one VM.
 *
 * @param startedAt when this process started
 * @param isFirstStart whether the whole fleet starts for the first time, so that nothing was used before
 */
public class FleetQuota(private val startedAt: MonotonicTime, private val isFirstStart: Boolean) {
    private class PeerTotals(val incarnation: Incarnation) {
        val totals = HashMap<WorkspaceName, Long>()
        var heardAt = MonotonicTime.ZERO
        var vms = 1
    }

    private val buckets = HashMap<WorkspaceName, SharedBucket>()
    private val admitted = HashMap<WorkspaceName, Long>()
    private val told = HashMap<WorkspaceName, Long>()
    private val peers = HashMap<VmId, PeerTotals>()
    private val relayed = RelayedUsage()
    private var members = emptySet<VmId>()

    /** Whether this VM is a hub, which passes on what it hears. */
    public var isHub: Boolean = false

    private val toPassOn: Map<WorkspaceName, Long> get() = if (isHub) totals(relayed::all) else admitted

    /** Whether so much was admitted and not told that the others should hear of it at once. */
    public val hasUrgentNews: Boolean
        get() = toPassOn.any { (workspace, total) ->
            val untold = Math.abs(total - (told[workspace] ?: 0))
            val tellers = if (isHub) 1 else 1 + members.size
            untold > 0 && buckets[workspace]?.isUrgent(untold, tellers) ?: true
        }

    /** Returns the totals of this VM and its members for a report to its equals. */
    public fun tell(): Map<WorkspaceName, Long> {
        told.putAll(toPassOn)
        return totals(relayed::ofMembers)
    }

    /** Returns the totals of all VMs but [member] for a report to it. */
    public fun tell(member: VmId): Map<WorkspaceName, Long> = totals { relayed.allBut(member, it) }

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

    /** Charges what [peer] tells since its last report; the first report of an incarnation is the base. */
    public fun report(peer: VmId, report: UsageReport, now: MonotonicTime) {
        val known = peers[peer]
        val entry = known?.takeIf { it.incarnation == report.incarnation } ?: PeerTotals(report.incarnation)
        if (known == null) entry.totals.putAll(report.totals)
        peers[peer] = entry
        entry.heardAt = now
        entry.vms = report.vms
        report.totals.forEach { (workspace, total) ->
            val used = total - (entry.totals.put(workspace, total) ?: 0)
            if (used != 0L) relayed.count(peer.takeIf { report.isOfMember }, workspace, used)
            val bucket = buckets[workspace]
            if (used >= 0) bucket?.charge(used, now) else bucket?.refund(-used)
        }
    }

    /** Forgets [peer], whose admissions come by another way from now on; its next report is a new base. */
    public fun forget(peer: VmId) {
        peers.remove(peer)
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
        val heard = peers.values.filter { now - it.heardAt < SILENCE_LIMIT }.sumOf { it.vms }
        return minOf(1.0, (1.0 + heard) / (1.0 + members.size))
    }

    private fun totals(ofOthers: (WorkspaceName) -> Long): Map<WorkspaceName, Long> =
        buckets.keys.filter { it in admitted || ofOthers(it) != 0L }
            .associateWith { (admitted[it] ?: 0) + ofOthers(it) }

    private companion object {
        /** Reports come every 250 ms; four missing ones in a row mean that the VM is cut off or gone. */
        val SILENCE_LIMIT = 1200.milliseconds
    }
}
