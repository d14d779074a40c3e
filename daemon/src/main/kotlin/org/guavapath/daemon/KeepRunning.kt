package org.guavapath.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.guavapath.daemon.gateway.endIfOutOfMemory
import kotlin.time.Duration.Companion.milliseconds

/** Time before a task that failed is begun again, so that one that always fails neither floods the log nor the loop. */
private val RESTART_DELAY = 500.milliseconds

private val logger = KotlinLogging.logger("org.guavapath.tasks")

/**
 * Runs [task], which others rely on for as long as the process lives, until it returns or the scope is cancelled.
 *
 * After a failure of any kind it is logged as [name] and begun again. Exhausted memory ends the process instead.
 */
internal fun CoroutineScope.keepRunning(name: String, task: suspend () -> Unit): Job = launch {
    while (true) {
        val failure = runCatching { task() }.exceptionOrNull() ?: break
        ensureActive()
        endIfOutOfMemory(failure)
        logger.error(failure) { "task '$name' failed and is begun again" }
        delay(RESTART_DELAY)
    }
}
