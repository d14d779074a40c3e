package org.guavapath.core.versions

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Replicas of which versions a request may be sent to. */
public enum class VersionChoice {
    /** Replicas of any version but the target. */
    OLD,

    /** Replicas of the target. */
    TARGET,
}

/**
 * What one run of a gateway may send to the target of an [order], and what it counts.
 *
 * Grants hold only while the gateway is heard and hears: each rests on one of its own reports, and is void a while
 * after that report was sent. Grants of a lower token than the highest are ignored; those of a new token replace all
 * before. In the move they hold longer, as the version has proven good and a gateway that goes back to old replicas
 * delays the outcome.
 *
 * @property order the order
 * @param progress what the store kept of the order when this gateway learned of it, null if nothing is known
 */
public class GatewayShare(
    public val order: VersionOrder,
    private val incarnation: Incarnation,
    private val bounds: ExposureBounds,
    learnedAt: MonotonicTime,
    progress: VersionProgress? = null,
) {
    private class Account {
        var granted = 0L
        var sent = 0L
        var returned = 0L
        var changedAt = MonotonicTime.ZERO
        val left get() = maxOf(0, granted - sent - returned)
    }

    private val accounts = HashMap<RouteName, Account>()
    private val requests = HashMap<RouteName, Long>()
    private val sentInAll = HashMap<RouteName, Long>()
    private val answers = HashMap<AnswerSource, SourceCounts>()
    private val reportTimes = LinkedHashMap<Long, MonotonicTime>()
    private var reports = 0L
    private var token = 0L
    private var heard = 0L
    private var ceiling = 0L
    private var formerCeiling = 0L
    private var beganAt = learnedAt + -(progress?.age ?: Duration.ZERO)

    /** The phase that this gateway acts on. */
    public var phase: VersionPhase = progress?.phase ?: VersionPhase.Trial
        private set

    /** When the newest report was sent on which a grant rests. */
    private var heardFor = learnedAt.takeIf { phase is VersionPhase.Move }

    private fun heardAgo(now: MonotonicTime) = heardFor?.let { now - it } ?: Duration.INFINITE

    /** Records that a request of [route] came to the service. */
    public fun requestCame(route: RouteName) {
        requests.merge(route, 1L, Long::plus)
    }

    /** Decides where a request of [route] is sent at [now]; what is sent to the target is taken from the grant. */
    public fun choose(route: RouteName, now: MonotonicTime): VersionChoice {
        val isAllowed = when (phase) {
            VersionPhase.Trial -> heardAgo(now) < bounds.trialValidity && isNextForTarget(route)
            VersionPhase.Move -> heardAgo(now) < bounds.moveValidity
            VersionPhase.Done -> true
            is VersionPhase.RolledBack -> false
        }
        if (!isAllowed) return VersionChoice.OLD
        account(route).sent += 1
        sentInAll.merge(route, 1L, Long::plus)
        return VersionChoice.TARGET
    }

    /** Records that a request of [route] that was to go to the target was sent nowhere. */
    public fun notSent(route: RouteName) {
        account(route).sent -= 1
        sentInAll.merge(route, -1L, Long::plus)
    }

    /** Records an answer; [replica] is the one of the target that gave it, null for the old version. */
    public fun answered(stratum: Stratum, replica: ReplicaId?, isFailure: Boolean, time: Duration?) {
        val counts = answers.getOrPut(AnswerSource(stratum, replica)) { SourceCounts() }
        if (isFailure) counts.failed() else counts.succeeded(time)
    }

    /** Applies [grant], received at [now]. */
    public fun granted(grant: VersionGrant, now: MonotonicTime) {
        if (grant.order != order) return
        decided(grant.phase)
        beganAt = minOf(beganAt, now + -grant.age)
        if (grant.token < token) formerCeiling = maxOf(formerCeiling, grant.ceiling)
        val sentAt = reportTimes[grant.answered]
        if (grant.incarnation != incarnation || grant.token < token || sentAt == null) return
        if (grant.token > token) {
            accounts.clear()
            formerCeiling = maxOf(formerCeiling, ceiling)
            ceiling = 0
            heard = 0
            token = grant.token
        }
        ceiling = maxOf(ceiling, grant.ceiling)
        if (!phase.isFinal) phase = grant.phase
        if (grant.number > heard) {
            heard = grant.number
            heardFor = sentAt
            if (!phase.isFinal) phase = grant.phase
        }
        grant.granted.forEach { (route, number) ->
            val account = account(route)
            if (number > account.granted) account.changedAt = now
            account.granted = maxOf(account.granted, number)
        }
    }

    /** Applies a decision that has been made; no other follows. */
    public fun decided(decision: VersionPhase) {
        if (decision.isFinal && !phase.isFinal) phase = decision
    }

    /** Returns the report to send at [now]; [runningOnOld] requests run on old replicas. */
    public fun report(runningOnOld: Int, now: MonotonicTime): VersionReport {
        reports += 1
        reportTimes[reports] = now
        reportTimes.entries.removeIf { now - it.value > bounds.moveValidity }
        accounts.values.filter { now - it.changedAt > KEEP_TIME }.forEach { it.returned += it.left }
        return VersionReport(
            order,
            incarnation,
            reports,
            now - beganAt,
            token,
            heard,
            ceiling,
            formerCeiling,
            phase,
            requests.toMap(),
            accounts.mapValues { it.value.sent },
            accounts.mapValues { it.value.returned },
            answers.mapValues { it.value.copy() },
            runningOnOld,
        )
    }

    /** Every second request of a route stays with the old version, so that there are answers to compare with. */
    private fun isNextForTarget(route: RouteName): Boolean =
        accounts[route].let { it != null && it.left > 0 } &&
            2 * (sentInAll[route] ?: 0) < (requests[route] ?: 0)

    private fun account(route: RouteName) = accounts.getOrPut(route) { Account() }

    private companion object {
        /** What has not been used by then is of more use to another gateway. */
        val KEEP_TIME: Duration = 1.seconds
    }
}
