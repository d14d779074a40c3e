package org.guavapath.daemon.routing

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavapath.core.config.Configuration
import org.guavapath.core.config.Endpoint
import org.guavapath.core.config.EndpointKind
import org.guavapath.core.identity.Incarnation
import org.guavapath.daemon.engine.EngineClient
import kotlin.time.Duration.Companion.milliseconds

private val LOAD_INTERVAL = 200.milliseconds
private val RETRY_DELAY = 500.milliseconds

/** More than one, since a busy engine may miss a report; failed requests mark an engine immediately. */
private const val FAILURES_UNTIL_LOST = 3

/** Polls load reports and cache events of all configured engines and sends them to the routing task. */
internal class EngineMonitor(private val routing: RoutingTask, private val client: EngineClient) {
    private val jobs = HashMap<Endpoint, Job>()

    /** Polls exactly the engines of [configuration] from now on. Not safe for concurrent use. */
    fun configure(scope: CoroutineScope, configuration: Configuration) {
        val engines = configuration.endpoints.filter { it.kind == EndpointKind.ENGINE }
            .map { it.copy(draining = false) }
        (jobs.keys - engines.toSet()).forEach { jobs.remove(it)?.cancel() }
        engines.filter { it !in jobs }.forEach { engine ->
            jobs[engine] = scope.launch {
                launch { pollLoad(engine) }
                launch { pollEvents(engine) }
            }
        }
    }

    private suspend fun pollLoad(engine: Endpoint) {
        var failures = 0
        while (true) {
            val report = client.load(engine.url)
            if (report == null) {
                failures += 1
                if (failures >= FAILURES_UNTIL_LOST) routing.send(RoutingMessage.StoppedReporting(engine.name))
                delay(RETRY_DELAY)
            } else {
                failures = 0
                routing.send(RoutingMessage.Load(engine.name, report))
                delay(LOAD_INTERVAL)
            }
        }
    }

    private suspend fun pollEvents(engine: Endpoint) {
        var incarnation: Incarnation? = null
        var sequence = 0L
        while (true) {
            val batch = client.events(engine.url, incarnation, sequence)
            if (batch == null) {
                delay(RETRY_DELAY)
                continue
            }
            routing.send(RoutingMessage.Events(engine.name, batch))
            if (batch.incarnation != incarnation) sequence = 0
            incarnation = batch.incarnation
            sequence = batch.events.lastOrNull()?.sequence ?: sequence
        }
    }
}
