/**
 * Selection of the replica that serves a request.
 *
 * The cost of a replica is the expected time to the first event (queued prompts, the part of the request's own
 * prompt to prefill or fetch, and the running batch) plus penalties, for example for crossing a failure domain, for
 * outdated weights and for recent failures.
 */
package org.guavapath.core.placement

import org.guavapath.core.fleet.CacheScope
import org.guavapath.core.fleet.CacheStore
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.ReplacedWeightsPolicy
import org.guavapath.core.weights.Staleness
import org.guavapath.core.weights.TargetWeights
import org.guavapath.core.weights.WeightsUse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A request to select a replica for.
 *
 * @property service the service that the request goes to
 * @property prompt the prompt's shape, null for plain requests
 * @property cacheScope which workspaces' cached parts may be used, and which may use those of this request
 * @property excluded replicas that were already tried
 * @property cacheStore the store of cached parts, null if there is none
 * @property closed replicas that take no further request now, but from which cached parts may be fetched
 */
public data class PlacementRequest(
    public val service: ServiceName,
    public val prompt: PromptShape?,
    public val cacheScope: CacheScope,
    public val excluded: Set<ReplicaId>,
    public val cacheStore: CacheStore?,
    public val closed: Set<ReplicaId> = emptySet(),
)

/**
 * A replica and its cost for one request.
 *
 * @property record the replica
 * @property cost expected time to the first event plus all penalties
 * @property expected expected time to the first event
 * @property heldTokens leading tokens of the prompt that the replica has cached
 * @property source where the replica may fetch more of the prompt, null if prefill is as fast
 * @property path the prompt's path under the replica's weights, null for plain requests
 * @property weights weights that the replica is expected to serve the request with
 * @property beginBy when the request must have begun, as these weights have been replaced; null if they have not
 */
public data class ScoredReplica(
    public val record: ReplicaRecord,
    public val cost: Duration,
    public val expected: Duration,
    public val heldTokens: Int,
    public val source: PromptSource?,
    public val path: PromptPath?,
    public val weights: WeightsNumber?,
    public val beginBy: MonotonicTime? = null,
) {
    /** Returns how many tokens of [prompt] the replica has to prefill or fetch. */
    public fun uncachedTokens(prompt: PromptShape?): Long = maxOf(0, (prompt?.promptTokens ?: 0) - heldTokens)
}

/** Result of [Placement.choose]. */
public sealed class PlacementResult {
    /**
     * A replica was chosen.
     *
     * @property chosen the chosen replica
     * @property candidates number of replicas that were compared
     */
    public data class Chosen(public val chosen: ScoredReplica, public val candidates: Int) : PlacementResult()

    /**
     * No replica can take the request: none is listed, or all are draining, leaving, excluded, or on weights that are
     * too old or will be when the request begins.
     *
     * @property reason how many replicas remained after each check
     */
    public data class NoReplica(public val reason: String) : PlacementResult()

    /** All replicas that could take the request are closed, or take none until a time that they have named. */
    public data object AllClosed : PlacementResult()
}

/**
 * Chooses replicas for one VM in [domain].
 *
 * @param replicas all listed replicas
 * @param directory which replicas hold which prompts
 * @param weights the target weights of each model
 * @param policy whether replicas with replaced weights may be used
 * @param startedAt when this VM started
 */
public class Placement(
    private val domain: FailureDomainName,
    private val replicas: ReplicaRegistry,
    private val directory: PromptDirectory,
    private val weights: TargetWeights,
    private val policy: ReplacedWeightsPolicy = ReplacedWeightsPolicy(),
    private val startedAt: MonotonicTime = MonotonicTime.ZERO,
) {
    /**
     * Returns the replica with the lowest cost for [request] at [now].
     *
     * Avoided replicas are considered only if no other is left, and replicas that are loading weights last of all.
     * Replicas with weights that were replaced at an unknown time are considered only if there are no others.
     */
    public fun choose(request: PlacementRequest, now: MonotonicTime): PlacementResult {
        val listed = replicas.of(request.service)
        val usable = listed.filter { !it.isWithdrawn && it.entry.id !in request.excluded }
        val uses = usable.groupBy { use(it, request.prompt, Duration.ZERO, now)::class }
        val current = uses[WeightsUse.Unlimited::class].orEmpty() + uses[WeightsUse.Limited::class].orEmpty()
        val lastResort = uses[WeightsUse.LastResort::class].orEmpty()
        val chosen = listOf(current, lastResort).firstNotNullOfOrNull { bestOf(it, request, now) }
        val open = current.ifEmpty { lastResort }
        return when {
            chosen != null -> chosen
            open.isNotEmpty() && open.all { isClosed(it, request, now) } -> PlacementResult.AllClosed
            else -> PlacementResult.NoReplica(
                "${listed.size} listed, ${usable.size} usable, ${open.size} with current weights, none in time",
            )
        }
    }

    /** Returns the best of [current] at which the request begins in time, null if there is none. */
    private fun bestOf(
        current: List<ReplicaRecord>,
        request: PlacementRequest,
        now: MonotonicTime,
    ): PlacementResult.Chosen? {
        val open = current.filter { !isClosed(it, request, now) }
        val scorer = Scorer(request, current.map { it.entry.id }.toSet(), now)
        val idle = open.filter { maxOf(it.loadingUntil, it.avoidedUntil) <= now }
        return sequenceOf(idle.filter { !it.health.isAvoided(now) }, idle, open).firstNotNullOfOrNull { candidates ->
            candidates.mapNotNull { scorer.scoreIfInTime(it) }
                .minWithOrNull(compareBy<ScoredReplica> { it.cost }.thenBy { it.record.entry.id })
                ?.let { PlacementResult.Chosen(it, candidates.size) }
        }
    }

    private fun isClosed(record: ReplicaRecord, request: PlacementRequest, now: MonotonicTime): Boolean =
        record.entry.id in request.closed || replicas.pauses.until(record.entry.incarnation, now) != null

    /** Returns when a request must have begun that was sent to a replica with weights [number]; null if at any time. */
    public fun beginBy(model: ModelName, number: WeightsNumber, now: MonotonicTime): MonotonicTime? =
        when (val use = policy.use(weights.staleness(model, number, now), Duration.ZERO, now - startedAt)) {
            WeightsUse.Unlimited -> null
            is WeightsUse.Limited -> now + use.beginsWithin
            is WeightsUse.LastResort -> now + use.beginsWithin
            WeightsUse.Forbidden -> now
        }

    private fun use(record: ReplicaRecord, prompt: PromptShape?, wait: Duration, now: MonotonicTime): WeightsUse =
        if (prompt == null) WeightsUse.Unlimited else policy.use(staleness(record, prompt, now), wait, now - startedAt)

    private fun staleness(record: ReplicaRecord, prompt: PromptShape, now: MonotonicTime): Staleness =
        expectedWeights(record, prompt, now)?.let { weights.staleness(prompt.model, it, now) } ?: Staleness.Current

    /** A replica of unknown weights rejects requests that expect the newest if it does not have these. */
    private fun expectedWeights(record: ReplicaRecord, prompt: PromptShape, now: MonotonicTime): WeightsNumber? =
        record.expectedWeights(prompt.model, now) ?: weights.newest(prompt.model)

    /** Scores candidates for one request; replicas with the same weights share a path and its sources. */
    private inner class Scorer(
        private val request: PlacementRequest,
        private val holders: Set<ReplicaId>,
        private val now: MonotonicTime,
    ) {
        private val paths = HashMap<WeightsNumber?, Pair<PromptPath, PromptSources>>()

        /** Returns null if the request would begin too late on the weights of [record]. */
        fun scoreIfInTime(record: ReplicaRecord): ScoredReplica? {
            val scored = score(record)
            return when (val use = use(record, request.prompt, scored.expected, now)) {
                WeightsUse.Unlimited -> scored
                is WeightsUse.Limited -> scored.copy(beginBy = now + use.beginsWithin)
                is WeightsUse.LastResort -> scored.copy(beginBy = now + use.beginsWithin)
                WeightsUse.Forbidden -> null
            }
        }

        private fun score(record: ReplicaRecord): ScoredReplica {
            val prompt = request.prompt ?: return scorePlain(record)
            val load = record.load(now)
            val number = expectedWeights(record, prompt, now)
            val (path, sources) = paths.getOrPut(number) { sourcesOf(prompt, number) }
            val held = directory.heldTokens(path, record.entry.id, Certainty.LIKELY, now)
            val source = sources.best(record.entry.id)
            val fetched = maxOf(0, (source?.tokens ?: 0) - held)
            val missing = maxOf(0, prompt.promptTokens - held - fetched)
            val expected = batchTime(load, record.entry.slots) +
                PREFILL_TIME_PER_TOKEN * (load.promptTokens + missing).toDouble() + FETCH_TIME_PER_TOKEN * fetched
            val isDuplicatePrefill = held + fetched < path.sharedTokens && sources.preferred != record.entry.id
            val cost = replicaPenalty(record) + expected + stalenessPenalty(staleness(record, prompt, now)) +
                (if (isDuplicatePrefill) DUPLICATE_PREFILL_PENALTY else Duration.ZERO)
            return ScoredReplica(record, cost, expected, held, source, path, number)
        }

        private fun scorePlain(record: ReplicaRecord): ScoredReplica {
            val expected = PLAIN_REQUEST_TIME * record.load(now).requests / maxOf(1, record.entry.slots)
            val cost = replicaPenalty(record) + expected
            return ScoredReplica(record, cost, expected, heldTokens = 0, source = null, path = null, weights = null)
        }

        private fun sourcesOf(prompt: PromptShape, number: WeightsNumber?): Pair<PromptPath, PromptSources> {
            val path = PromptPath.of(request.cacheScope.salt(prompt.model, number), prompt.parts)
            return path to PromptSources(replicas, directory, path, holders, request.cacheStore, now)
        }
    }

    private fun replicaPenalty(record: ReplicaRecord): Duration {
        val crossDomain = if (record.entry.failureDomain == domain) Duration.ZERO else CROSS_DOMAIN_PENALTY
        return crossDomain + FAILURE_PENALTY * record.health.recentFailures + record.entry.warmUpLeft / WARM_UP_DIVISOR
    }

    private fun stalenessPenalty(staleness: Staleness): Duration = when (staleness) {
        Staleness.Current -> Duration.ZERO
        is Staleness.Replaced ->
            if (staleness.age > MAX_UNPENALIZED_STALENESS) STALE_WEIGHTS_PENALTY else Duration.ZERO
        is Staleness.Unknown -> STALE_WEIGHTS_PENALTY
    }

    private fun batchTime(load: ReplicaLoad, slots: Int): Duration =
        STEP_TIME_PER_REQUEST * load.requests + (if (load.requests >= slots) FULL_BATCH_PENALTY else Duration.ZERO)

    private companion object {
        /** Engines prefill 85.2 tokens per millisecond. */
        val PREFILL_TIME_PER_TOKEN = (1.0 / 85.2).milliseconds

        /** A cached token takes 327,680 bytes and is fetched over a link of 1,500 Gbit/s. */
        val FETCH_TIME_PER_TOKEN = 0.00175.milliseconds

        /** Approximate time that each running request adds to a batch step that includes prefill. */
        val STEP_TIME_PER_REQUEST = 0.4.milliseconds
        val FULL_BATCH_PENALTY = 400.milliseconds

        /** Typical processing time of a plain request. */
        val PLAIN_REQUEST_TIME = 43.milliseconds

        /** A 12 KB request to another domain costs the network about as much as 35 ms of prefill (3,000 tokens). */
        val CROSS_DOMAIN_PENALTY = 40.milliseconds

        /** Multiplied by the share of recent failures. */
        val FAILURE_PENALTY = 300.milliseconds
        const val WARM_UP_DIVISOR = 10
        val MAX_UNPENALIZED_STALENESS = 1300.milliseconds
        val STALE_WEIGHTS_PENALTY = 150.milliseconds

        /**
         * Prefilling a shared part twice costs the fleet more than the request is worth, so the first requests go
         * to one replica unless it is busier than the others by this much.
         */
        val DUPLICATE_PREFILL_PENALTY = 150.milliseconds
    }
}
