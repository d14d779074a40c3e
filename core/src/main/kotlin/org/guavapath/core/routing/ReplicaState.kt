package org.guavapath.core.routing

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.results.Invariant
import org.guavapath.core.time.MonotonicTime
import kotlin.time.DurationUnit

private const val DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000L

/** A request sent by this VM whose first token has not arrived yet. */
private class PendingPrefill(val tokens: Long, val sentAt: MonotonicTime)

/** State of one replica as known to this VM. */
internal class ReplicaState(var configured: ConfiguredReplica, val number: ReplicaNumber) {
    val nameHash: Long = Hashing.xxh3_64().hashCharsToLong(configured.endpoint.text)
    private val pending = mutableMapOf<String, PendingPrefill>()
    private var incarnation: Incarnation? = null
    private var lastSequence = 0L
    private var reportedAt = MonotonicTime.ZERO
    var report: LoadReport? = null
        private set

    /** End of the time in which the replica is a candidate only if no other is left. */
    var avoidUntil = MonotonicTime.ZERO
    var outstanding = 0
        private set

    val prefillRate: Long get() = report?.prefillTokensPerSecond ?: DEFAULT_PREFILL_TOKENS_PER_SECOND

    /**
     * Returns the prompt tokens queued before a new request: the reported ones, less those computed since the
     * report, plus those of requests sent by this VM since.
     */
    fun queuedTokens(now: MonotonicTime): Double {
        val reported = report?.queuedTokens ?: 0
        val computed = prefillRate * (now - reportedAt).toDouble(DurationUnit.SECONDS)
        val sentSinceReport = pending.values.filter { it.sentAt > reportedAt }.sumOf { it.tokens }
        return maxOf(0.0, reported - computed) + sentSinceReport
    }

    /** Returns this replica as a candidate; [depths] holds the matched pieces by replica number. */
    fun toCandidate(depths: IntArray, now: MonotonicTime): Candidate = Candidate(
        endpoint = configured.endpoint,
        failureDomain = configured.failureDomain,
        nameHash = nameHash,
        matchedPieces = depths[number.number],
        queuedTokens = queuedTokens(now),
        prefillTokensPerSecond = prefillRate,
        outstanding = maxOf(outstanding, report?.running ?: 0),
    )

    fun sent(attempt: String, prefillTokens: Long, now: MonotonicTime) {
        pending[attempt] = PendingPrefill(prefillTokens, now)
        outstanding += 1
    }

    fun firstToken(attempt: String) {
        pending.remove(attempt)
    }

    fun ended(attempt: String) {
        pending.remove(attempt)
        outstanding -= 1
    }

    /** Discards the report; which models the replica serves is unknown until it reports again. */
    fun stoppedReporting() {
        report = null
    }

    /** Applies a report; one of an older incarnation is ignored. */
    fun receive(report: LoadReport, index: BlockIndex, now: MonotonicTime) {
        if (!acceptIncarnation(report.incarnation, index)) return
        this.report = report
        reportedAt = now
    }

    /** Applies events; those of an older incarnation and repeated ones are ignored. */
    fun receive(batch: CacheEventBatch, index: BlockIndex) {
        if (!acceptIncarnation(batch.incarnation, index)) return
        batch.events.filter { it.sequence > lastSequence }.forEach { apply(it, index) }
    }

    /** Returns false if [received] is older than the known incarnation; a newer one clears the cached blocks. */
    private fun acceptIncarnation(received: Incarnation, index: BlockIndex): Boolean {
        val known = incarnation
        if (known != null && received < known) return false
        if (received != known) {
            index.clear(number)
            incarnation = received
            lastSequence = 0
        }
        return true
    }

    /** Applies [event]; a gap in the sequence may hide evictions, so all earlier entries are dropped. */
    private fun apply(event: CacheEvent, index: BlockIndex) {
        Invariant.check("cache-event-order", event.sequence > lastSequence) {
            "event ${event.sequence} of ${configured.endpoint} after $lastSequence"
        }
        if (event.sequence > lastSequence + 1) index.clear(number)
        lastSequence = event.sequence
        when (event) {
            is CacheEvent.Stored -> index.add(BlockHash(event.block), number)
            is CacheEvent.Evicted -> index.remove(BlockHash(event.block), number)
        }
    }
}
