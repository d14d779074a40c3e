package org.guavapath.daemon.gateway

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tracks when each expected peer was last received from. */
internal class PeerLiveness {
    private val lastReceivedAt = HashMap<VmId, MonotonicTime>()

    /** Tracks exactly [vms] from now on; a new one counts as received from now. */
    fun track(vms: Set<VmId>) {
        val now = MonotonicTime.now()
        vms.forEach { lastReceivedAt.putIfAbsent(it, now) }
        lastReceivedAt.keys.retainAll(vms)
    }

    fun messageReceived(vm: VmId) {
        lastReceivedAt.computeIfPresent(vm) { _, _ -> MonotonicTime.now() }
    }

    fun isAlive(vm: VmId): Boolean = lastReceivedAt[vm]?.let { MonotonicTime.now() - it < ALIVE_TIMEOUT } ?: false

    /** Returns the gateways that nothing was received from for longer than [timeout]. */
    fun silentFor(timeout: Duration): Set<VmId> =
        lastReceivedAt.filterValues { MonotonicTime.now() - it > timeout }.keys

    private companion object {
        /** Two intervals of 750 ms, at which a gateway publishes an unchanged status. */
        val ALIVE_TIMEOUT = 1500.milliseconds
    }
}
