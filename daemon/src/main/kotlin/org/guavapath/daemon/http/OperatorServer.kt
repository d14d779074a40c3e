package org.guavapath.daemon.http

import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavapath.daemon.observe.RequestMetrics
import org.guavapath.daemon.settings.ListenAddress

private const val OK = 200
private const val UNAVAILABLE = 503

/** The tokens of a workspace on one VM. */
@Serializable
internal data class WorkspaceStatus(val name: String, val tokens: Long)

/** The status of a daemon, as served at `/status`. */
@Serializable
internal data class DaemonStatus(
    val vm: String,
    val failureDomain: String,
    val configurationVersion: Long,
    val draining: Boolean,
    val requests: Int,
    val linkedPeers: List<String>,
    val workspaces: List<WorkspaceStatus>,
)

/** Serves health, metrics and status to operators, on an address separate from that of callers. */
internal class OperatorServer(
    private val address: ListenAddress,
    private val metrics: RequestMetrics,
    private val isReady: () -> Boolean,
    private val status: suspend () -> DaemonStatus,
) {
    private val server = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.routes.get("/health/live") { it.result("live") }
        config.routes.get("/health/ready") { ready(it) }
        config.routes.get("/metrics") { it.contentType("text/plain; version=0.0.4").result(metrics.text()) }
        config.routes.get("/status") { it.contentType("application/json").result(statusText()) }
    }

    /** Starts listening and returns the port in use. */
    fun start(): Int {
        server.start(address.host, address.port)
        return server.port()
    }

    fun stop() {
        server.stop()
    }

    private fun ready(context: Context) {
        val ready = isReady()
        context.status(if (ready) OK else UNAVAILABLE).result(if (ready) "ready" else "not ready")
    }

    private fun statusText(): String = runBlocking { Json.encodeToString(DaemonStatus.serializer(), status()) }
}
