package org.guavapath.daemon.observe

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tags
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.results.ResultCode

/** The daemon's metrics, in the Prometheus text format. */
internal class RequestMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Counts a request that ended with [code]. */
    fun ended(code: ResultCode, workspace: WorkspaceName?) {
        val tags = Tags.of("code", code.number.toString())
            .and("name", code.label)
            .and("workspace", workspace?.text ?: "none")
        registry.counter("guavapath.requests", tags).increment()
    }

    /** Registers a gauge [name] that reads its value from [read]. */
    fun gauge(name: String, read: () -> Number) {
        Gauge.builder(name, read).register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    fun text(): String = registry.scrape()
}
