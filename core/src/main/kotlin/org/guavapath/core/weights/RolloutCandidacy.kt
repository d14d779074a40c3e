package org.guavapath.core.weights

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What one VM knows of another that may hold the rollout lease.
 *
 * @property isAvailable whether it responds, is served by the store and is no member of a hub
 * @property isUpToDate whether it has stated to know all targets that this VM knows
 */
public data class HolderState(public val isAvailable: Boolean, public val isUpToDate: Boolean)

/**
 * Decides whether a VM should hold the rollout lease.
 *
 * The holder keeps it while it is eligible; otherwise the eligible VM with the lowest name takes it. A VM that does not
 * learn of new targets may have lost the store unnoticed. VMs learn of a target at different moments, however, so that
 * one is passed over only if it has been behind for a while.
 *
 * A VM that has just started, or was frozen, has not heard of those that are well yet, so that it takes the lease from
 * nobody for [SETTLING_TIME]. A holder whose orders fail may invite another VM to take it.
 *
 * @param startedAt when this VM started
 */
public class RolloutCandidacy(private val self: VmId, startedAt: MonotonicTime) {
    private val behindSince = HashMap<VmId, MonotonicTime>()
    private var runningSince = startedAt
    private var askedAt = startedAt
    private var invitedUntil = MonotonicTime.ZERO

    /** Whether VMs that are well have been heard of by [now]. */
    public fun isSettled(now: MonotonicTime): Boolean {
        if (now - askedAt > MAX_PAUSE) runningSince = now
        askedAt = now
        return now - runningSince > SETTLING_TIME
    }

    /** Records that the holder has invited this VM to take the lease. */
    public fun invited(now: MonotonicTime) {
        invitedUntil = now + INVITATION_PERIOD
    }

    /**
     * Returns whether this VM should hold the lease at [now]; asked several times a second.
     *
     * @param holder the holder as far as this VM knows, null if there is none
     * @param others what is known of the other VMs
     * @param isAlone whether there are no other VMs to hear of
     */
    public fun isCandidate(
        holder: VmId?,
        others: Map<VmId, HolderState>,
        isAlone: Boolean,
        now: MonotonicTime,
    ): Boolean {
        val isSettled = isSettled(now) || isAlone
        val eligible = eligible(others, now)
        if (holder == self) invitedUntil = MonotonicTime.ZERO
        return when {
            holder == self || now < invitedUntil -> true
            holder in eligible || !isSettled -> false
            else -> eligible.all { self < it }
        }
    }

    /** Returns the VM that should follow this one if its orders fail: the eligible one with the next name, if any. */
    public fun successor(others: Map<VmId, HolderState>, now: MonotonicTime): VmId? {
        val eligible = eligible(others, now)
        return eligible.filter { it > self }.minOrNull() ?: eligible.minOrNull()
    }

    private fun eligible(others: Map<VmId, HolderState>, now: MonotonicTime): Set<VmId> {
        behindSince.keys.retainAll(others.filterValues { !it.isUpToDate }.keys)
        return others.filter { (vm, state) -> state.isAvailable && !isBehind(vm, state, now) }.keys
    }

    private fun isBehind(vm: VmId, state: HolderState, now: MonotonicTime): Boolean =
        !state.isUpToDate && now - behindSince.getOrPut(vm) { now } > MAX_DELAY

    /** Holds the times that the tests of other modules need. */
    public companion object {
        /** Two intervals of 750 ms, at which a VM publishes an unchanged status. */
        public val SETTLING_TIME: Duration = 1500.milliseconds

        /** Longer than a VM takes to learn of a target and to state so in its next status. */
        private val MAX_DELAY = 1.seconds

        /** A VM that was not asked for that long did not run, so that it may have missed statuses. */
        private val MAX_PAUSE = 1.seconds

        /** Time in which an invited VM takes the lease. */
        private val INVITATION_PERIOD = 2.seconds
    }
}
