package org.guavapath.daemon.pipeline

import org.guavapath.core.identity.KeyHash
import org.guavapath.core.identity.RequestId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** A running request. [cancel] ends it when its key is withdrawn. */
internal class RunningRequest(val key: KeyHash?, private val onKeyWithdrawn: () -> Unit) {
    private val keyWithdrawn = AtomicBoolean()

    /** Whether the key was withdrawn while the request ran. */
    val isKeyWithdrawn: Boolean get() = keyWithdrawn.get()

    fun cancel() {
        if (keyWithdrawn.compareAndSet(false, true)) onKeyWithdrawn()
    }
}

/** The requests running on this VM, at most [maxRequests]. */
internal class RunningRequests(private val maxRequests: Int) {
    private val count = AtomicInteger()
    private val running = ConcurrentHashMap<RequestId, RunningRequest>()

    /** Number of requests being served. */
    val size: Int get() = count.get()

    /** Reserves capacity for a request; returns false if [maxRequests] are being served. */
    fun tryReserve(): Boolean {
        if (count.incrementAndGet() <= maxRequests) return true
        count.decrementAndGet()
        return false
    }

    /** Releases the capacity that [tryReserve] reserved. */
    fun release() {
        count.decrementAndGet()
    }

    fun add(id: RequestId, request: RunningRequest) {
        running[id] = request
    }

    fun remove(id: RequestId) {
        running.remove(id)
    }

    /** Cancels the requests whose keys are no longer accepted. */
    fun cancelUnaccepted(isAccepted: (KeyHash) -> Boolean) {
        running.values.filter { it.key != null && !isAccepted(it.key) }.forEach { it.cancel() }
    }
}
