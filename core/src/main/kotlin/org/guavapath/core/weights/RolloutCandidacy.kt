package org.guavapath.core.weights

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
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
 */
public class RolloutCandidacy(private val self: VmId) {
    private val behindSince = HashMap<VmId, MonotonicTime>()

    /**
     * Returns whether this VM should hold the lease at [now].
     *
     * @param holder the holder as far as this VM knows, null if there is none
     * @param others what is known of the other VMs
     */
    public fun isCandidate(holder: VmId?, others: Map<VmId, HolderState>, now: MonotonicTime): Boolean {
        behindSince.keys.retainAll(others.filterValues { !it.isUpToDate }.keys)
        val eligible = others.filter { (vm, state) -> state.isAvailable && !isBehind(vm, state, now) }.keys
        return when {
            holder == self -> true
            holder in eligible -> false
            else -> eligible.all { self < it }
        }
    }

    private fun isBehind(vm: VmId, state: HolderState, now: MonotonicTime): Boolean =
        !state.isUpToDate && now - behindSince.getOrPut(vm) { now } > MAX_DELAY

    private companion object {
        /** Longer than a VM takes to learn of a target and to state so in its next status. */
        val MAX_DELAY: Duration = 1.seconds
    }
}
