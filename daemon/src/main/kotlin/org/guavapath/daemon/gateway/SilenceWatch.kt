package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Calls [onSilence] when a limit passes without a sign of life. */
internal class SilenceWatch(private val loop: EventLoop, private val onSilence: () -> Unit) {
    private var pending: ScheduledFuture<*>? = null

    /** Expects the next sign of life within [limit] from now; replaces the limit before. */
    fun within(limit: Duration) {
        stop()
        pending = loop.schedule(onSilence, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Expects nothing any more. */
    fun stop() {
        pending?.cancel(false)
    }
}
