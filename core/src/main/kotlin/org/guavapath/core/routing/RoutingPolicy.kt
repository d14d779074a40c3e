/**
 * Selection of a replica for one request.
 *
 * [RoutingPolicy.ExpectedFirstToken] is used in production; the other policies are baselines for benchmarks.
 */
package org.guavapath.core.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.config.PriorityClass
import org.guavapath.core.identity.EndpointName
import org.guavapath.core.identity.FailureDomainName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A replica that can serve a request.
 *
 * @property endpoint its name
 * @property failureDomain the failure domain that it runs in
 * @property nameHash hash of the name, the same on every VM
 * @property matchedPieces leading pieces of the prompt that it holds, as last reported
 * @property queuedTokens prompt tokens queued before the request
 * @property prefillTokensPerSecond prefill throughput
 * @property outstanding known requests in progress there
 */
public data class Candidate(
    public val endpoint: EndpointName,
    public val failureDomain: FailureDomainName,
    public val nameHash: Long,
    public val matchedPieces: Int,
    public val queuedTokens: Double,
    public val prefillTokensPerSecond: Long,
    public val outstanding: Int,
)

/**
 * The properties of a request that a policy uses.
 *
 * @property chain the prompt's block hashes
 * @property promptTokens tokens of the whole prompt
 * @property pieceTokens tokens of one piece
 * @property domain the failure domain of the routing VM
 * @property priority the priority class of the request's route
 * @property sharesWithBatch whether any route of the same model has batch priority
 */
public data class RoutingRequest(
    public val chain: PrefixChain,
    public val promptTokens: Long,
    public val pieceTokens: Int,
    public val domain: FailureDomainName,
    public val priority: PriorityClass,
    public val sharesWithBatch: Boolean,
)

/**
 * A candidate and its score.
 *
 * @property candidate the candidate
 * @property score the smallest is best; in seconds for [RoutingPolicy.ExpectedFirstToken]
 */
public data class ScoredCandidate(public val candidate: Candidate, public val score: Double)

/**
 * Result of [RoutingPolicy.choose].
 *
 * @property chosen the chosen candidate
 * @property scored all candidates with their scores
 * @property reason why the candidate was chosen
 */
public data class RoutingDecision(
    public val chosen: ScoredCandidate,
    public val scored: List<ScoredCandidate>,
    public val reason: RoutingReason,
)

/** Why a candidate was chosen. */
public enum class RoutingReason {
    /** It had the best score. */
    BEST_SCORE,

    /** Its score was within the tolerance of the best one, and the prompt's hash prefers it among such candidates. */
    HASH_AMONG_NEAR_EQUALS,

    /** It was the only candidate. */
    ONLY_CANDIDATE,
}

/** Policy for selecting a replica. */
public sealed class RoutingPolicy {
    /**
     * Chooses one of [candidates].
     *
     * @return the decision, or null if there is no candidate
     */
    public fun choose(candidates: List<Candidate>, request: RoutingRequest, random: Random): RoutingDecision? {
        if (candidates.isEmpty()) return null
        val reservation = reservationPenalty(candidates, request)
        val scored = candidates.map { ScoredCandidate(it, score(it, request, random) + reservation(it)) }
        val best = scored.minOf { it.score }
        val nearBest = scored.filter { it.score <= best + scoreTolerance(best) }
        val chosen = nearBest.maxBy { affinity(request.chain, it.candidate, random) }
        return RoutingDecision(chosen, scored, reason(scored, nearBest))
    }

    protected abstract fun score(candidate: Candidate, request: RoutingRequest, random: Random): Double

    /** Returns the addition to a candidate's score by which replicas reserved for other work are avoided. */
    protected open fun reservationPenalty(candidates: List<Candidate>, request: RoutingRequest): (Candidate) -> Double =
        { 0.0 }

    /** Returns how far above the [best] score a candidate still counts as equal. */
    protected open fun scoreTolerance(best: Double): Double = 0.0

    private fun reason(scored: List<ScoredCandidate>, nearBest: List<ScoredCandidate>): RoutingReason = when {
        scored.size == 1 -> RoutingReason.ONLY_CANDIDATE
        nearBest.size == 1 -> RoutingReason.BEST_SCORE
        else -> RoutingReason.HASH_AMONG_NEAR_EQUALS
    }

    /** Chooses any replica with equal probability. */
    public data object UniformRandom : RoutingPolicy() {
        override fun score(candidate: Candidate, request: RoutingRequest, random: Random): Double = random.nextDouble()
    }

    /** Chooses the replica with the fewest outstanding requests, with equal probability among ties. */
    public data object LeastLoad : RoutingPolicy() {
        override fun score(candidate: Candidate, request: RoutingRequest, random: Random): Double =
            candidate.outstanding + random.nextDouble()
    }

    /** Chooses the replica that the hash of the prompt's first piece prefers. */
    public data object PrefixHash : RoutingPolicy() {
        override fun score(candidate: Candidate, request: RoutingRequest, random: Random): Double = 0.0
    }

    /**
     * Chooses the replica with the shortest expected time to first token: queue, prefill of the part of the
     * prompt that it does not hold, and latency to another failure domain. If the model also serves batch work, half
     * of the replicas are reserved for it; other work avoids them unless the rest are busy.
     *
     * @property tolerance how far above the best score a candidate still counts as equal
     * @property domainLink latency of a request to another failure domain
     */
    public data class ExpectedFirstToken(
        private val tolerance: Duration = DEFAULT_TOLERANCE,
        private val domainLink: Duration = CROSS_DOMAIN_LATENCY,
    ) : RoutingPolicy() {
        override fun score(candidate: Candidate, request: RoutingRequest, random: Random): Double {
            val matched = candidate.matchedPieces.toLong() * request.pieceTokens
            val missing = maxOf(0, request.promptTokens - matched)
            val prefill = (candidate.queuedTokens + missing) / candidate.prefillTokensPerSecond
            val crossDomain = if (candidate.failureDomain == request.domain) Duration.ZERO else domainLink
            return prefill + crossDomain.inSeconds() + candidate.outstanding * SECONDS_PER_OUTSTANDING_REQUEST
        }

        override fun reservationPenalty(
            candidates: List<Candidate>,
            request: RoutingRequest,
        ): (Candidate) -> Double {
            if (!request.sharesWithBatch) return { 0.0 }
            val limit = batchLimit(candidates)
            val isBatch = request.priority == PriorityClass.BATCH
            val penalty = (if (isBatch) BATCH_OUTSIDE_RESERVED_PENALTY else OTHER_INSIDE_RESERVED_PENALTY).inSeconds()
            return { candidate -> if ((candidate.nameHash < limit) == isBatch) 0.0 else penalty }
        }

        /**
         * Returns the limit below which a name's hash reserves the replica for batch work. All routers with the same
         * candidates compute the same limit.
         */
        private fun batchLimit(candidates: List<Candidate>): Long {
            val hashes = LongArray(candidates.size) { candidates[it].nameHash }
            hashes.sort()
            return hashes[candidates.size / REPLICAS_PER_BATCH_REPLICA]
        }

        override fun scoreTolerance(best: Double): Double = tolerance.inSeconds()
    }

    private companion object {
        val DEFAULT_TOLERANCE = 5.milliseconds
        val CROSS_DOMAIN_LATENCY = 1.milliseconds
        val BATCH_OUTSIDE_RESERVED_PENALTY = 1500.milliseconds
        val OTHER_INSIDE_RESERVED_PENALTY = 300.milliseconds
        const val REPLICAS_PER_BATCH_REPLICA = 2
        const val SECONDS_PER_OUTSTANDING_REQUEST = 0.001

        fun Duration.inSeconds(): Double = this / 1.seconds

        /** Rendezvous hash by which all routers prefer the same replica for the same first piece. */
        fun affinity(chain: PrefixChain, candidate: Candidate, random: Random): Long =
            if (chain.size == 0) {
                random.nextLong()
            } else {
                Hashing.xxh3_64().hashLongLongToLong(chain[0].bits, candidate.nameHash)
            }
    }
}
