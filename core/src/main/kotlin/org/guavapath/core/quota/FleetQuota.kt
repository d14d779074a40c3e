/**
 * Fleet-wide rate limits without a remote call per request.
 *
 * Every VM counts the tokens it admitted for each workspace and reports the running totals to its peers. Each VM
 * charges its own buckets with its peers' admissions, so all buckets converge on the same level, one report late.
 * A VM that receives no reports from some members uses only the share of the rate and burst that belongs to the
 * reachable ones, so that the sides of a network partition together stay within the whole rate.
 *
 * In a large fleet, hubs relay the totals: to other hubs the sum of their own and their members' admissions, to
 * each member the sum of all other VMs' admissions.
 */
package org.guavapath.core.quota

import org.guavapath.core.fleet.FleetWorkspace
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The result of [FleetQuota.admit]. */
public sealed class QuotaVerdict {
    /** The request may run; its cost is charged. */
    public data object Admitted : QuotaVerdict()

    /**
     * The workspace is at its limit.
     *
     * @property retryAfter time until the bucket is refilled far enough
     * @property bucket state of the workspace's bucket on this VM
     */
    public data class Exhausted(public val retryAfter: Duration, public val bucket: BucketReading) : QuotaVerdict()
}

/**
 * A VM's report of its admissions to a peer.
 *
 * @property incarnation incarnation of the reporting VM
 * @property totals admitted tokens by workspace since that VM started
 * @property vms number of VMs whose admissions are included in the totals
 * @property isOfMember whether the reporting VM is a member of the receiving hub, which has to relay the report
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
 * @param isFirstStart whether the whole fleet starts for the first time, so that no tokens were used before
 */
public class FleetQuota(private val startedAt: MonotonicTime, private val isFirstStart: Boolean) {
    private class PeerTotals(val incarnation: Incarnation) {
        val totals = HashMap<WorkspaceName, Long>()
        var receivedAt = MonotonicTime.ZERO
        var vms = 1
    }

    private val buckets = HashMap<WorkspaceName, SharedBucket>()
    private val admitted = HashMap<WorkspaceName, Long>()
    private val reported = HashMap<WorkspaceName, Long>()
    private val peers = HashMap<VmId, PeerTotals>()
    private val relayed = RelayedUsage()
    private var members = emptySet<VmId>()

    /** Whether this VM is a hub, which relays the reports it receives. */
    public var isHub: Boolean = false

    private val totalsToRelay: Map<WorkspaceName, Long> get() = if (isHub) totals(relayed::total) else admitted

    /** Whether the unreported admissions of a workspace are large enough to be reported at once. */
    public val hasUrgentUsage: Boolean
        get() = totalsToRelay.any { (workspace, total) ->
            val unreported = Math.abs(total - (reported[workspace] ?: 0))
            val reporters = if (isHub) 1 else 1 + members.size
            unreported > 0 && buckets[workspace]?.isUrgent(unreported, reporters) ?: true
        }

    /** Returns the totals of this VM and its members, for a report to equal peers, and marks them as reported. */
    public fun usageTotals(): Map<WorkspaceName, Long> {
        reported.putAll(totalsToRelay)
        return totals(relayed::fromMembers)
    }

    /** Returns the totals of all VMs except [member], for a report to it. */
    public fun usageTotals(member: VmId): Map<WorkspaceName, Long> = totals { relayed.totalExcept(member, it) }

    /** Applies the limits of [workspaces]; workspaces not listed are no longer limited. */
    public fun configure(workspaces: List<FleetWorkspace>, now: MonotonicTime) {
        val names = workspaces.map { it.name }.toSet()
        buckets.keys.retainAll(names)
        workspaces.forEach { workspace ->
            val bucket = buckets.getOrPut(workspace.name) { SharedBucket(now, isFirstStart) }
            bucket.configure(workspace.ratePerSecond, workspace.burst, now)
        }
    }

    /** Sets the other VMs of the fleet to [others]. */
    public fun setMembers(others: Set<VmId>) {
        members = others
        peers.keys.retainAll(others)
    }

    /**
     * Charges what [peer] admitted since its last report.
     *
     * The first report from a peer only sets the baseline; totals of a later incarnation count from zero.
     */
    public fun receiveReport(peer: VmId, report: UsageReport, now: MonotonicTime) {
        val known = peers[peer]
        val entry = known?.takeIf { it.incarnation == report.incarnation } ?: PeerTotals(report.incarnation)
        if (known == null) entry.totals.putAll(report.totals)
        peers[peer] = entry
        entry.receivedAt = now
        entry.vms = report.vms
        report.totals.forEach { (workspace, total) ->
            val used = total - (entry.totals.put(workspace, total) ?: 0)
            if (used != 0L) relayed.add(peer.takeIf { report.isOfMember }, workspace, used)
            val bucket = buckets[workspace]
            if (used >= 0) bucket?.charge(used, now) else bucket?.refund(-used)
        }
    }

    /** Forgets [peer], whose admissions now arrive through another VM; its next report is a new baseline. */
    public fun forget(peer: VmId) {
        peers.remove(peer)
    }

    /** Admits or refuses a request of [workspace]; an unknown workspace has no limit. */
    public fun admit(workspace: WorkspaceName, cost: RequestCost, now: MonotonicTime): QuotaVerdict {
        val bucket = buckets[workspace] ?: return QuotaVerdict.Admitted
        bucket.setRateShare(reachableShare(now), now)
        return if (bucket.admit(cost, 1 + members.size, now)) {
            admitted.merge(workspace, cost.tokens, Long::plus)
            QuotaVerdict.Admitted
        } else {
            QuotaVerdict.Exhausted(bucket.timeUntilAdmission(now), bucket.reading)
        }
    }

    /** Refunds [tokens] of an admitted request that did not run. */
    public fun refund(workspace: WorkspaceName, tokens: Long) {
        val bucket = buckets[workspace] ?: return
        bucket.refund(tokens)
        admitted.merge(workspace, -tokens, Long::plus)
    }

    /** Share of the fleet whose reports arrive at this VM, itself included, from 0 to 1. */
    public fun reachableShare(now: MonotonicTime): Double {
        if (members.isEmpty() || now - startedAt < REPORT_TIMEOUT) return 1.0
        val reachable = peers.values.filter { now - it.receivedAt < REPORT_TIMEOUT }.sumOf { it.vms }
        return minOf(1.0, (1.0 + reachable) / (1.0 + members.size))
    }

    private fun totals(relayedTokens: (WorkspaceName) -> Long): Map<WorkspaceName, Long> =
        buckets.keys.filter { it in admitted || relayedTokens(it) != 0L }
            .associateWith { (admitted[it] ?: 0) + relayedTokens(it) }

    private companion object {
        /** Reports arrive every 250 ms; after four missing in a row the VM counts as unreachable. */
        val REPORT_TIMEOUT = 1200.milliseconds
    }
}
