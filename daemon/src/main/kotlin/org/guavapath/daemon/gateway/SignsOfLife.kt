package org.guavapath.daemon.gateway

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** When this gateway last heard of the others that it is linked with. */
internal class SignsOfLife {
    private val heardAt = HashMap<VmId, MonotonicTime>()

    /** From now on, [vms] are those that this gateway should hear of. */
    fun expect(vms: Set<VmId>) {
        val now = MonotonicTime.now()
        vms.forEach { heardAt.putIfAbsent(it, now) }
        heardAt.keys.retainAll(vms)
    }

    fun heard(vm: VmId) {
        heardAt.computeIfPresent(vm) { _, _ -> MonotonicTime.now() }
    }

    fun isAlive(vm: VmId): Boolean = heardAt[vm]?.let { MonotonicTime.now() - it < ALIVE_LIMIT } ?: false

    /** Returns the gateways of which nothing was heard for longer than [limit]. */
    fun silentFor(limit: Duration): Set<VmId> = heardAt.filterValues { MonotonicTime.now() - it > limit }.keys

    private companion object {
        /** An unchanged status is told every 750 ms. */
        val ALIVE_LIMIT = 1500.milliseconds
    }
}
