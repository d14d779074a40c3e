package org.guavapath.daemon.gateway

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.quarantine.RequestKey
import org.guavapath.core.results.ResultCode
import org.guavapath.core.store.StoreError
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.RolloutProgress
import org.guavapath.daemon.logging.LogDropCounter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** The gateway's counters and latency histograms, in the Prometheus text format. */
internal class GatewayMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Counts a request that was refused before admission. */
    fun refused(code: ResultCode) {
        registry.counter("guavapath.gateway.refused", codeTags(code)).increment()
    }

    /** Counts an event of the counter [name], with [value] of its label [label]. */
    fun count(name: String, label: String, value: String) {
        registry.counter(name, Tags.of(label, value)).increment()
    }

    /** Counts an attempt that ended with the crash of its replica, by how much of its response had arrived. */
    fun cutOff(progress: AttemptProgress) {
        val arrived = when {
            progress.firstBytesAt != null -> "body"
            progress.headAt != null -> "head"
            else -> "nothing"
        }
        registry.counter("guavapath.gateway.attempts.cut.off.by.crash", Tags.of("arrived", arrived)).increment()
    }

    /** Records a request that ended and its duration. */
    fun ended(code: ResultCode, admitted: AdmittedRequest, firstEventAt: MonotonicTime?) {
        val tags = codeTags(code).and("route", admitted.route.name)
        val receivedAt = admitted.request.receivedAt
        timer("guavapath.gateway.request", tags).record((MonotonicTime.now() - receivedAt).toJavaDuration())
        if (firstEventAt != null) {
            timer("guavapath.gateway.first.event", Tags.of("route", admitted.route.name))
                .record((firstEventAt - receivedAt).toJavaDuration())
        }
    }

    /** Counts a call to the store that was refused, or whose response is missing or unreadable. */
    fun storeCallFailed(error: StoreError) {
        val isRefused = error is StoreError.Refused
        registry.counter("guavapath.gateway.store.calls.failed", Tags.of("refused", isRefused.toString())).increment()
    }

    /** Registers gauges that read the gateway's state at each scrape. */
    fun registerGauges(pool: ReplicaPool, operator: OperatorState, fleet: FleetState) {
        gauge("guavapath.gateway.replica.connections.opened") { pool.opened }
        gauge("guavapath.gateway.configuration.version") { operator.configuration?.version?.number ?: 0 }
        gauge("guavapath.gateway.log.dropped") { LogDropCounter.total }
        gauge("guavapath.gateway.reachable.share") { fleet.quota.reachableShare(MonotonicTime.now()) }
        gauge("guavapath.gateway.replicas.with.named.rate") { fleet.rates.limitedReplicas }
        gauge("guavapath.gateway.replicas.withdrawn") { fleet.replicas.all.count { it.isWithdrawn } }
        gauge("guavapath.gateway.replicas.paused") { fleet.replicas.pauses.count(MonotonicTime.now()) }
        gauge("guavapath.gateway.crash.reports") { fleet.quarantine.reports.size }
        gauge(
            "guavapath.gateway.held.requests"
        ) { fleet.quarantine.held.count { held -> held.any { it is RequestKey } } }
        val progress = { RolloutProgress.of(fleet.weights, fleet.replicas.all, MonotonicTime.now()) }
        gauge("guavapath.gateway.replicas.behind.weights") { progress().behind }
        gauge("guavapath.gateway.replicas.behind.weights.milliseconds") { progress().longest.inWholeMilliseconds }
        gauge(
            "guavapath.gateway.quarantined.prompts"
        ) { fleet.quarantine.held.count { held -> held.all { it is PartKey } } }
    }

    /** Registers a gauge that reads its value at each scrape. */
    fun gauge(name: String, read: () -> Number) {
        Gauge.builder(name, read).register(registry)
    }

    fun text(): String = registry.scrape()

    private fun codeTags(code: ResultCode) = Tags.of("code", code.number.toString()).and("name", code.label)

    private fun timer(name: String, tags: Tags): Timer = Timer.builder(name)
        .tags(tags)
        .publishPercentileHistogram()
        .minimumExpectedValue(MIN_EXPECTED_DURATION.toJavaDuration())
        .maximumExpectedValue(MAX_EXPECTED_DURATION.toJavaDuration())
        .register(registry)

    private companion object {
        /** Histogram range, from the fastest responses (requests without a prompt) to the callers' longest deadline. */
        val MIN_EXPECTED_DURATION: Duration = 10.milliseconds
        val MAX_EXPECTED_DURATION: Duration = 12.seconds
    }
}
