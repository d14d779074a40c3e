package org.guavapath.daemon.gateway

import io.netty.handler.codec.http.HttpMethod
import org.guavapath.core.identity.RequestId

/** The requests that one connection to a replica has carried; the ids of the newest [REMEMBERED] are kept. */
internal class CarriedRequests {
    private val methods = LinkedHashMap<RequestId, HttpMethod>()

    /** Number of requests, calls of the gateway's own included. */
    var count = 0
        private set

    /** Records a request that is sent with [method]; calls of the gateway's own have no [id]. */
    fun add(id: RequestId?, method: HttpMethod) {
        count += 1
        if (id == null) return
        methods[id] = method
        if (methods.size > REMEMBERED) methods.remove(methods.keys.first())
    }

    /** Whether the request [id] was sent with [method]. */
    fun wasSentWith(method: HttpMethod, id: RequestId?): Boolean = methods[id] == method

    /** Whether the request [id] was sent on the connection, as far as that is remembered. */
    operator fun contains(id: RequestId): Boolean = id in methods

    private companion object {
        /** A response that comes later than so many requests is not recognized any more. */
        const val REMEMBERED = 256
    }
}
