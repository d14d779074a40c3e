package org.guavapath.daemon.gateway

import io.netty.channel.Channel

/** Pauses the reading of a connection as long as there is a reason. */
internal class ReadingPauses(private val channel: Channel) {
    /** Whether as many requests wait on the connection as may. */
    var isQueueFull = false
        set(value) {
            field = value
            apply()
        }

    /** Whether a body waits for room in memory. */
    var isBodyWaiting = false
        set(value) {
            field = value
            apply()
        }

    private fun apply() {
        channel.config().isAutoRead = !isQueueFull && !isBodyWaiting
    }
}
