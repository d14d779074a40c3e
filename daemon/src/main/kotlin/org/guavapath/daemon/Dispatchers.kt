package org.guavapath.daemon

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.Executors

/**
 * Runs calls that block on a socket.
 *
 * Each call in progress has its own thread, so that long streams do not delay other calls. The number of threads is
 * bounded by the daemon's limit on concurrent requests.
 */
internal val blockingCalls: CoroutineDispatcher = Executors.newCachedThreadPool { runnable ->
    Thread(runnable, "blocking-call").apply { isDaemon = true }
}.asCoroutineDispatcher()
