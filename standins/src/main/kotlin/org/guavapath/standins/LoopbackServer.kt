package org.guavapath.standins

import io.javalin.Javalin
import io.javalin.config.RoutesConfig
import org.eclipse.jetty.util.thread.QueuedThreadPool

private const val MAX_THREADS = 1_200
private const val MAX_BODY_BYTES = 64_000_000L
private const val LOOPBACK = "127.0.0.1"

/** Starts an HTTP server on the loopback address; [port] 0 picks any free port. */
internal fun loopbackServer(port: Int, routes: RoutesConfig.() -> Unit): Javalin = Javalin.create { config ->
    config.startup.showJavalinBanner = false
    config.http.maxRequestSize = MAX_BODY_BYTES
    config.jetty.threadPool = QueuedThreadPool(MAX_THREADS)
    config.routes.routes()
}.start(LOOPBACK, port)
