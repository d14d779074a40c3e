/**
 * State of the replicas that one VM can send model requests to.
 *
 * Cached blocks count only for the engine's current incarnation. A gap in the sequence of cache events may hide
 * evictions, so all earlier entries of that replica are dropped.
 */
package org.guavapath.core.routing

import org.guavapath.core.identity.EndpointName
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.WeightsVersion
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How long a replica that failed is avoided. */
public val FAILURE_BACKOFF: Duration = 2.seconds

/**
 * Configuration of a replica.
 *
 * @property endpoint its name
 * @property failureDomain the failure domain that it runs in
 * @property models models that it may be asked for
 * @property draining whether it gets no new requests
 */
public data class ConfiguredReplica(
    public val endpoint: EndpointName,
    public val failureDomain: FailureDomainName,
    public val models: Set<ModelName>,
    public val draining: Boolean,
)

/** Tracks the replicas, their load and their cached blocks. Not thread-safe: a single task owns it. */
public class ReplicaTracker {
    private val replicas = LinkedHashMap<EndpointName, ReplicaState>()
    private val index = BlockIndex()

    /** Number of blocks in the index. */
    public val knownBlocks: Int get() = index.size

    /**
     * Replaces the configured replicas and keeps the state of those that remain.
     *
     * Replicas beyond [BlockIndex.MAX_REPLICAS] are ignored.
     */
    public fun configure(configured: List<ConfiguredReplica>) {
        val names = configured.map { it.endpoint }.toSet()
        replicas.values.filter { it.configured.endpoint !in names }.forEach { index.clear(it.number) }
        replicas.keys.retainAll(names)
        configured.forEach { replica ->
            val known = replicas[replica.endpoint]
            if (known != null) known.configured = replica else add(replica)
        }
    }

    private fun add(replica: ConfiguredReplica) {
        val used = replicas.values.map { it.number.number }.toSet()
        val number = (0 until BlockIndex.MAX_REPLICAS).firstOrNull { it !in used } ?: return
        replicas[replica.endpoint] = ReplicaState(replica, ReplicaNumber(number))
    }

    /** Applies cache events of [endpoint]. Events of an older incarnation and repeated events are ignored. */
    public fun receive(endpoint: EndpointName, batch: CacheEventBatch) {
        replicas[endpoint]?.receive(batch, index)
    }

    /** Applies a load report of [endpoint]. Reports of an older incarnation are ignored. */
    public fun receive(endpoint: EndpointName, report: LoadReport, now: MonotonicTime) {
        replicas[endpoint]?.receive(report, index, now)
    }

    /** Records a failed request; for [FAILURE_BACKOFF], [endpoint] is a candidate only if no other replica is left. */
    public fun failed(endpoint: EndpointName, now: MonotonicTime) {
        replicas[endpoint]?.avoidUntil = now + FAILURE_BACKOFF
    }

    /** Records that [endpoint] stopped reporting; it is not a candidate until it reports again. */
    public fun stoppedReporting(endpoint: EndpointName) {
        replicas[endpoint]?.stoppedReporting()
    }

    /** Records that [attempt] was sent to [endpoint], which has to prefill [prefillTokens] of its prompt. */
    public fun sent(endpoint: EndpointName, attempt: String, prefillTokens: Long, now: MonotonicTime) {
        replicas[endpoint]?.sent(attempt, prefillTokens, now)
    }

    /** Records the first token of [attempt]. */
    public fun firstToken(endpoint: EndpointName, attempt: String) {
        replicas[endpoint]?.firstToken(attempt)
    }

    /** Records the end of [attempt]. */
    public fun ended(endpoint: EndpointName, attempt: String) {
        replicas[endpoint]?.ended(attempt)
    }

    /**
     * Returns the replicas that can serve [version] of [model], each with its state and its match of [chain].
     *
     * A replica must have reported that it loaded exactly this version: one without a report may serve older
     * weights. Draining replicas and those in [excluded] are left out; recently failed ones are included only if no
     * other is left.
     */
    public fun candidates(
        model: ModelName,
        version: WeightsVersion,
        chain: PrefixChain,
        now: MonotonicTime,
        excluded: Set<EndpointName> = emptySet(),
    ): List<Candidate> {
        val depths = IntArray(BlockIndex.MAX_REPLICAS)
        index.depths(chain, depths)
        val wanted = LoadedModel(model, version)
        val eligible = replicas.values
            .filter { model in it.configured.models && !it.configured.draining }
            .filter { it.configured.endpoint !in excluded }
            .filter { wanted in it.report?.models.orEmpty() }
        return eligible.filter { it.avoidUntil <= now }.ifEmpty { eligible }.map { it.toCandidate(depths, now) }
    }
}
