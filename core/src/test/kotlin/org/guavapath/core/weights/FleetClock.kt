package org.guavapath.core.weights

import org.guavapath.core.time.MonotonicTime
import java.util.PriorityQueue
import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.resume
import kotlin.coroutines.startCoroutine
import kotlin.coroutines.suspendCoroutine
import kotlin.time.Duration

/** Virtual time of a simulated fleet: runs events in the order of their times. */
internal class FleetClock {
    private class Event(
        val at: MonotonicTime,
        val number: Long,
        val process: FleetProcess?,
        val isDelayed: Boolean,
        val action: () -> Unit,
    )

    private val events = PriorityQueue(compareBy<Event>({ it.at.microseconds }, { it.number }))
    private var scheduled = 0L

    /** The present time. */
    var now = MonotonicTime.ZERO
        private set

    /** Runs [action] at [at], which [process] handles; null for parts of the world that never fail. */
    fun schedule(at: MonotonicTime, process: FleetProcess? = null, action: () -> Unit) =
        add(at, process, isDelayed = false, action)

    /** Runs all events until [end]. */
    fun runUntil(end: MonotonicTime) {
        while (true) {
            val event = events.peek()?.takeIf { it.at <= end } ?: break
            events.poll()
            now = event.at
            handle(event)
        }
        now = end
    }

    private fun add(at: MonotonicTime, process: FleetProcess?, isDelayed: Boolean, action: () -> Unit) {
        scheduled += 1
        events.add(Event(maxOf(at, now), scheduled, process, isDelayed, action))
    }

    private fun handle(event: Event) {
        val process = event.process
        when {
            process == null -> event.action()
            process.isEnded -> Unit
            process.frozenUntil > now -> add(process.frozenUntil, process, event.isDelayed, event.action)
            !event.isDelayed && process.lag > Duration.ZERO -> add(process.delayed(now), process, true, event.action)
            else -> event.action()
        }
    }
}

/** One run of a process whose tasks share an event loop; it may be frozen, slow, or end. */
internal class FleetProcess(val clock: FleetClock) {
    private var lastDelayed = MonotonicTime.ZERO

    /** Time until an event is handled. */
    var lag: Duration = Duration.ZERO
    var frozenUntil = MonotonicTime.ZERO
    var isEnded = false

    /** Returns when an event of [at] is handled, after all former ones. */
    fun delayed(at: MonotonicTime): MonotonicTime = maxOf(at + lag, lastDelayed).also { lastDelayed = it }

    /** Starts a task. */
    fun launch(task: suspend () -> Unit) =
        clock.schedule(clock.now, this) { task.startCoroutine(Continuation(EmptyCoroutineContext) { it.getOrThrow() }) }

    /** Suspends a task. */
    suspend fun delay(duration: Duration): Unit = suspendCoroutine { task ->
        clock.schedule(clock.now + duration, this) { task.resume(Unit) }
    }

    /** Makes a call that [start] begins; returns its answer, null if there is none within [timeout]. */
    suspend fun <T> call(timeout: Duration, start: (answer: (T) -> Unit) -> Unit): T? = suspendCoroutine { task ->
        var hasEnded = false
        val end = { result: T? ->
            if (!hasEnded) {
                hasEnded = true
                task.resume(result)
            }
        }
        clock.schedule(clock.now + timeout, this) { end(null) }
        start { answer -> clock.schedule(clock.now, this) { end(answer) } }
    }
}
