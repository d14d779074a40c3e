/** Stand-in for the rate-limited weight store: loads take longer if more than two run at once. */
package org.guavapath.standins.weights

import io.javalin.Javalin
import io.javalin.http.Context
import org.guavapath.standins.loopbackServer
import java.util.concurrent.atomic.AtomicInteger

private const val LOAD_MILLISECONDS = 200L
private const val FULL_SPEED_LOADS = 2

/**
 * Serves the weight store on a loopback port.
 *
 * `GET /weights/MODEL/VERSION` takes as long as a load; `GET /standin/most-loads` returns the largest number of
 * loads at once, for tests.
 */
internal class WeightStoreStandIn(port: Int) {
    private val loads = AtomicInteger()
    private val maxConcurrentLoads = AtomicInteger()

    private val server: Javalin = loopbackServer(port) {
        get("/weights/{model}/{version}") { load(it) }
        get("/standin/most-loads") { it.result(maxConcurrentLoads.get().toString()) }
    }

    val port: Int get() = server.port()

    fun stop() {
        server.stop()
    }

    private fun load(context: Context) {
        val concurrentLoads = loads.incrementAndGet()
        maxConcurrentLoads.accumulateAndGet(concurrentLoads) { first, second -> maxOf(first, second) }
        try {
            Thread.sleep(LOAD_MILLISECONDS * maxOf(1, concurrentLoads - FULL_SPEED_LOADS + 1))
            context.result("${context.pathParam("model")} ${context.pathParam("version")}")
        } finally {
            loads.decrementAndGet()
        }
    }
}
