package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Calls [onTimeout] on [loop] unless it is restarted or stopped in time. */
internal class InactivityTimer(private val loop: EventLoop, private val onTimeout: () -> Unit) {
    private var pending: ScheduledFuture<*>? = null

    /** Starts the timer with [timeout] from now, replacing a pending one. */
    fun restart(timeout: Duration) {
        stop()
        pending = loop.schedule(onTimeout, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Ensures that at least [timeout] is left; has no effect on a timer that is not running. */
    fun extend(timeout: Duration) {
        val remaining = pending?.getDelay(TimeUnit.MILLISECONDS) ?: return
        if (remaining < timeout.inWholeMilliseconds) restart(timeout)
    }

    /** Cancels the pending timeout. */
    fun stop() {
        pending?.cancel(false)
    }
}
