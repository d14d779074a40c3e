/**
 * Choice of the replica that serves a request.
 *
 * The cost of a replica is the expected time until the first event: the prompts that wait there, the part
 * of the own prompt that must be read or fetched, and the running batch; plus penalties for crossing a
 * failure domain, for outdated weights and for recent failures.
 */
package org.guavapath.core.placement

import org.guavapath.core.fleet.CacheStore
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.NamedWeights
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What is to be placed.
 *
 * @property service the service that the request goes to
 * @property prompt set for requests to models
 * @property cacheOwner workspace whose cached parts may be used alone, null if parts may be shared
 * @property excluded replicas that were tried already
 * @property cacheStore the store of cached parts, null if there is none
 */
public data class PlacementRequest(
    public val service: ServiceName,
    public val prompt: PromptShape?,
    public val cacheOwner: WorkspaceName?,
    public val excluded: Set<ReplicaId>,
    public val cacheStore: CacheStore?,
)

/**
 * A replica with its cost.
 *
 * @property record the replica
 * @property cost expected time to the first event with all penalties
 * @property expected expected time to the first event
 * @property heldTokens tokens at the prompt's beginning that it holds
 * @property source where the replica may fetch more of the prompt, null if reading is as fast
 * @property path the prompt's path under the replica's weights, null for plain requests
 * @property weights weights that the request is to meet
 */
public data class ScoredReplica(
    public val record: ReplicaRecord,
    public val cost: Duration,
    public val expected: Duration,
    public val heldTokens: Int,
    public val source: PromptSource?,
    public val path: PromptPath?,
    public val weights: WeightsNumber?,
) {
    /** Tokens of the prompt that the replica has to read or fetch. */
    public fun missingTokens(prompt: PromptShape?): Long = maxOf(0, (prompt?.promptTokens ?: 0) - heldTokens)
}

/** The outcome of a choice. */
public sealed class PlacementResult {
    /**
     * A replica was chosen.
     *
     * @property chosen the choice
     * @property candidates number of replicas that were compared
     */
    public data class Chosen(public val chosen: ScoredReplica, public val candidates: Int) : PlacementResult()

    /**
     * No replica can take the request: none is listed, all leave, or all have weights that are too old.
     *
     * @property reason how many replicas fell out at which check
     */
    public data class NoReplica(public val reason: String) : PlacementResult()
}

/**
 * Chooses replicas for one VM in [domain].
 *
 * @param book all replicas
 * @param directory which replicas hold which prompts
 * @param weights the weights named for each model
 */
public class Placement(
    private val domain: FailureDomainName,
    private val book: ReplicaBook,
    private val directory: PromptDirectory,
    private val weights: NamedWeights,
) {
    /** Chooses a replica for [request] at [now]. */
    public fun choose(request: PlacementRequest, now: MonotonicTime): PlacementResult {
        val listed = book.of(request.service)
        val usable = listed.filter { !it.entry.isDraining && it.entry.id !in request.excluded }
        val current = usable.filter { isCurrentEnough(it, request.prompt, now) }
        if (current.isEmpty()) {
            return PlacementResult.NoReplica("${listed.size} listed, ${usable.size} usable, none with current weights")
        }
        val sound = current.filter { !it.health.isAvoided(now) && it.loadingUntil <= now }
        val candidates = sound.ifEmpty { current.filter { it.loadingUntil <= now } }.ifEmpty { current }
        val lookup = Lookup(request, current.map { it.entry.id }.toSet(), now)
        val scored = candidates.map { lookup.score(it) }
        val chosen = scored.minWith(compareBy<ScoredReplica> { it.cost }.thenBy { it.record.entry.id })
        return PlacementResult.Chosen(chosen, candidates.size)
    }

    private fun isCurrentEnough(record: ReplicaRecord, prompt: PromptShape?, now: MonotonicTime): Boolean {
        val number = prompt?.let { record.weights(it.model) } ?: return true
        return weights.outdatedFor(prompt.model, number, now) < LONGEST_OUTDATED
    }

    /** What the candidates for one request have in common; replicas with the same weights share a path. */
    private inner class Lookup(
        private val request: PlacementRequest,
        private val holders: Set<ReplicaId>,
        private val now: MonotonicTime,
    ) {
        private val paths = HashMap<WeightsNumber?, Pair<PromptPath, PromptSources>>()

        fun score(record: ReplicaRecord): ScoredReplica {
            val prompt = request.prompt ?: return scorePlain(record)
            val load = record.load(now)
            val number = record.weights(prompt.model)
            val (path, sources) = paths.getOrPut(number) { sourcesOf(prompt, number) }
            val held = directory.heldTokens(path, record.entry.id, Certainty.LIKELY, now)
            val source = sources.best(record.entry.id)
            val fetched = maxOf(0, (source?.tokens ?: 0) - held)
            val missing = maxOf(0, prompt.promptTokens - held - fetched)
            val expected = batch(load, record.entry.slots) +
                READ_TIME * (load.promptTokens + missing).toDouble() + FETCH_TIME * fetched
            val isAway = held + fetched < path.sharedTokens && sources.home != record.entry.id
            val cost = penalty(record) + expected + staleness(prompt, number, now) +
                (if (isAway) AWAY_FROM_HOME else Duration.ZERO)
            return ScoredReplica(record, cost, expected, held, source, path, number)
        }

        private fun scorePlain(record: ReplicaRecord): ScoredReplica {
            val expected = PLAIN_WORK * record.load(now).requests / maxOf(1, record.entry.slots)
            val cost = penalty(record) + expected
            return ScoredReplica(record, cost, expected, heldTokens = 0, source = null, path = null, weights = null)
        }

        private fun sourcesOf(prompt: PromptShape, number: WeightsNumber?): Pair<PromptPath, PromptSources> {
            val path = PromptPath.of(cacheSalt(request.cacheOwner, prompt.model, number), prompt.parts)
            return path to PromptSources(book, directory, path, holders, request.cacheStore, now)
        }
    }

    private fun penalty(record: ReplicaRecord): Duration {
        val crossing = if (record.entry.failureDomain == domain) Duration.ZERO else CROSSING
        return crossing + FAILURE_WEIGHT * record.health.recentFailures + record.entry.warmUpLeft / WARM_UP_DIVISOR
    }

    private fun staleness(prompt: PromptShape, number: WeightsNumber?, now: MonotonicTime): Duration {
        val age = number?.let { weights.outdatedFor(prompt.model, it, now) } ?: Duration.ZERO
        return if (age > HARMLESS_OUTDATED) OUTDATED else Duration.ZERO
    }

    private fun batch(load: ReplicaLoad, slots: Int): Duration =
        STEP_TIME * load.requests + (if (load.requests >= slots) FULL_BATCH else Duration.ZERO)

    private companion object {
        /** An engine reads 85.2 tokens of a prompt in a millisecond. */
        val READ_TIME = (1.0 / 85.2).milliseconds

        /** 327,680 bytes a token over a link of 1,500 Gbit/s. */
        val FETCH_TIME = 0.00175.milliseconds

        /** Each running request adds about this much to the time of a step in which prompts are read. */
        val STEP_TIME = 0.4.milliseconds
        val FULL_BATCH = 400.milliseconds

        /** Typical work of a plain request. */
        val PLAIN_WORK = 43.milliseconds

        /** A request of 12 KB costs the network about as much as reading 3,000 tokens costs a replica. */
        val CROSSING = 40.milliseconds
        val FAILURE_WEIGHT = 300.milliseconds
        const val WARM_UP_DIVISOR = 10
        val HARMLESS_OUTDATED = 1300.milliseconds
        val OUTDATED = 150.milliseconds

        /** Requests must not begin on weights that were replaced 6 s ago; the rest is room for queues and clocks. */
        val LONGEST_OUTDATED = 5.seconds

        /**
         * A shared part that is read twice costs the fleet more than its request is worth; the first
         * requests go to one replica unless that is busier than the others by this much.
         */
        val AWAY_FROM_HOME = 150.milliseconds
    }
}
