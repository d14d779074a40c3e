package org.guavapath.daemon.gateway

import org.guavapath.core.store.ObjectKind
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/** Whether the store responds for one view, according to this gateway's own calls or the hub that it follows. */
internal class StoreHealth(private val kind: ObjectKind, private val log: GatewayLog) {
    private var failingSince: MonotonicTime? = null

    /** When the store last recovered from an outage longer than [OUTAGE_THRESHOLD]. */
    var recoveredAt = MonotonicTime.ZERO
        private set

    /** Whether the last call failed. */
    val isFailing: Boolean get() = failingSince != null

    /** Whether the store responds; short failures, such as a reconnected watch, are ignored. */
    val isStoreAvailable: Boolean get() = failingSince.let { it == null || MonotonicTime.now() - it < OUTAGE_THRESHOLD }

    fun succeeded() {
        val since = failingSince ?: return
        failingSince = null
        val now = MonotonicTime.now()
        if (now - since > OUTAGE_THRESHOLD) recoveredAt = now
        log.stateChange("store regained", "kind" to kind.text, "afterMs" to (now - since).inWholeMilliseconds)
    }

    fun failed(reason: String) {
        if (failingSince != null) return
        failingSince = MonotonicTime.now()
        log.stateChange("store lost", "kind" to kind.text, "error" to reason)
    }

    private companion object {
        val OUTAGE_THRESHOLD = 1.seconds
    }
}
