package org.guavapath.daemon.gateway

/** Exit status of a process that has run out of memory, the same as with the JVM's ExitOnOutOfMemoryError. */
internal const val EXIT_OUT_OF_MEMORY = 3

/**
 * Ends the process at once if [cause] is an [OutOfMemoryError]: tasks may have died of it that nothing starts again.
 *
 * The JVM does so itself when its heap is exhausted, but not for direct buffers and threads.
 */
internal fun endIfOutOfMemory(cause: Throwable, end: (Int) -> Unit = { Runtime.getRuntime().halt(it) }) {
    if (cause !is OutOfMemoryError) return
    System.err.println("Terminating due to java.lang.OutOfMemoryError: ${cause.message}")
    end(EXIT_OUT_OF_MEMORY)
}
