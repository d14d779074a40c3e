package org.guavapath.daemon.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.guavapath.core.store.RetrySchedule
import org.guavapath.core.store.StoreError
import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration

/** Holds back this process's calls to the store while they fail. Confined to the event loop. */
internal class StoreBackOff {
    private val schedule = RetrySchedule(Random.Default)

    /** Lets callers begin in the order in which they asked. */
    private val turns = Mutex()
    private val updates = MutableStateFlow(0)
    private val waiting = LinkedHashSet<(StoreError) -> Unit>()

    /** Called with each call that the store has refused or not answered. */
    var onFailed: (StoreError) -> Unit = {}

    /** The wait that was chosen after the last failure; zero while calls succeed. */
    val current: Duration get() = schedule.backOff

    /**
     * Waits until the caller may call the store. Returns whether its call is a probe, which must not be a watch.
     *
     * @param onFailure called when another call fails meanwhile
     */
    suspend fun awaitTurn(onFailure: (StoreError) -> Unit = {}): Boolean {
        if (!schedule.isFailing) return false
        waiting.add(onFailure)
        try {
            return turns.withLock { awaitNextCall() }
        } finally {
            waiting.remove(onFailure)
        }
    }

    private suspend fun awaitNextCall(): Boolean {
        while (true) {
            val now = MonotonicTime.now()
            val timeLeft = schedule.timeLeft(now)
            if (!timeLeft.isPositive()) return schedule.begin(now)
            val update = updates.value
            withTimeoutOrNull(timeLeft) { updates.first { it != update } }
        }
    }

    /** Records that the store has answered a call. */
    fun succeeded() {
        if (!schedule.isFailing) return
        schedule.succeeded(MonotonicTime.now())
        updates.value += 1
    }

    /** Records that a call that began at [calledAt] ended with [error]. */
    fun failed(calledAt: MonotonicTime, error: StoreError) {
        val askedWait = (error as? StoreError.Refused)?.askedWait
        schedule.failed(calledAt, MonotonicTime.now(), askedWait)
        updates.value += 1
        onFailed(error)
        waiting.toList().forEach { it(error) }
    }
}
