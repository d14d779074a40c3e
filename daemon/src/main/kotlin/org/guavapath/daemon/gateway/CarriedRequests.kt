package org.guavapath.daemon.gateway

import org.guavapath.core.identity.RequestId

/** The requests that one connection to a replica has carried; the ids of the newest [REMEMBERED] are kept. */
internal class CarriedRequests {
    private val ids = LinkedHashSet<RequestId>()

    /** Number of requests, calls of the gateway's own included. */
    var count = 0
        private set

    /** Records a request that is sent; calls of the gateway's own have no [id]. */
    fun add(id: RequestId?) {
        count += 1
        if (id == null) return
        ids.add(id)
        if (ids.size > REMEMBERED) ids.remove(ids.first())
    }

    /** Whether the request [id] was sent on the connection, as far as that is remembered. */
    operator fun contains(id: RequestId): Boolean = id in ids

    private companion object {
        /** A response that comes later than so many requests is not recognized any more. */
        const val REMEMBERED = 256
    }
}
