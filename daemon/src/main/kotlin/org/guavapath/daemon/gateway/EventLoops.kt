package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * Calls [task] after the loop has read from all connections once more, so that it knows which of them have closed.
 *
 * Must be called on the event loop. A task that another task schedules runs in the next pass of the loop; one that a
 * connection's handler schedules would still run in this pass.
 */
internal fun EventLoop.afterNextPoll(task: () -> Unit) = execute { schedule(task, 0, TimeUnit.MILLISECONDS) }
