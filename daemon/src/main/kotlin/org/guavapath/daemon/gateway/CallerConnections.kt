package org.guavapath.daemon.gateway

/** The open connections of callers; confined to one event loop. */
internal class CallerConnections {
    private val open = HashSet<CallerConnection>()

    /** Whether every connection closes after its current request. */
    var isDraining = false
        private set

    /** Whether requests are refused, as the process is about to end. */
    var isStopped = false
        private set

    /** Adds a connection that was accepted. */
    fun opened(connection: CallerConnection) {
        open.add(connection)
    }

    /** Removes a connection that has closed. */
    fun closed(connection: CallerConnection) {
        open.remove(connection)
    }

    /** Starts draining. */
    fun drain() {
        isDraining = true
    }

    /** Refuses requests from now on. */
    fun stop() {
        isStopped = true
    }

    /** Closes connections without a request and returns the number of open ones. */
    fun closeIdle(): Int {
        open.toList().forEach { it.closeIfIdle() }
        return open.size
    }

    /** Records the requests that are unanswered as the process ends. */
    fun reportStop() = open.forEach { it.report(ConnectionEnd.STOPPED) }
}
