package org.guavapath.daemon.gateway

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.store.StoreError
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.FencingToken
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The lease of the one gateway that orders replicas to load weights.
 *
 * The lease does not expire by itself: another gateway takes it over with a higher fencing token. The former holder
 * notices when it confirms its token, which it does shortly before each order, and leaves the lease to the new holder.
 * A confirmation is valid briefly and by both the monotonic and the wall clock, so that a gateway that was frozen or
 * suspended confirms again.
 *
 * The holder takes a new token for each new target, so that replicas that check tokens reject late orders for earlier
 * targets.
 *
 * A gateway that finds a holder in the store of which no other gateway has told leaves it the time to order replicas:
 * two gateways that cannot hear each other would otherwise take the lease from each other before either may use it.
 *
 * A store that returns from an older copy may lack the last holders, or all of them. A lease is therefore taken anew in
 * each era, with a token that is higher than all of former eras.
 *
 * @param isFirstStart whether the fleet starts for the first time, so that there was no holder before
 */
internal class RolloutLease(
    private val self: VmId,
    private val incarnation: Incarnation,
    private val stored: StoredRolloutLease,
    private val isFirstStart: Boolean,
    private val log: GatewayLog,
) {
    /** A confirmation of the lease; its validity counts from the start of the store call. */
    private class Confirmation(val at: MonotonicTime, val wallClock: Long) {
        val isValid: Boolean
            get() {
                val wallElapsed = (System.currentTimeMillis() - wallClock).milliseconds
                return MonotonicTime.now() - at < CONFIRMATION_VALIDITY &&
                    wallElapsed < CONFIRMATION_VALIDITY && wallElapsed > -CONFIRMATION_VALIDITY
            }
    }

    private var confirmation: Confirmation? = null
    private val startedAt = MonotonicTime.now()
    private val confirming = Mutex()
    private var usableFrom = MonotonicTime.ZERO
    private var mayTakeFrom = MonotonicTime.ZERO
    private var wanted = emptyMap<ModelName, WeightsNumber>()
    private var tokenTargets = emptyMap<ModelName, WeightsNumber>()
    private var failedAt: MonotonicTime? = null

    /** Whether the last confirmation failed lately; another gateway should take over then. */
    val isFailing: Boolean get() = failedAt?.let { MonotonicTime.now() - it < FAILURE_PERIOD } ?: false

    private val isConfirmed: Boolean get() = confirmation?.isValid ?: false

    /** Whether this gateway holds the lease as far as it knows. */
    val isHeld: Boolean get() = knownHolder?.vm == self

    /** Time since the call that confirmed the lease last was made, null if it is not confirmed. */
    val confirmationAge: Duration? get() = confirmation?.let { MonotonicTime.now() - it.at }

    /** The holder as far as this gateway knows. */
    var knownHolder: PeerMessage.RolloutHolder? = null
        private set

    /** Applies the [holder] that another gateway reported if its token is newer. */
    fun holderReceived(holder: PeerMessage.RolloutHolder?) {
        if (holder != null && holder.fencingToken > (knownHolder?.fencingToken ?: 0)) {
            holderKnown(holder)
            mayTakeFrom = MonotonicTime.ZERO
        }
    }

    /** Reads who holds the lease, so that a gateway that starts does not take it from a holder that is well. */
    suspend fun learnHolder() {
        val lease = stored.read().getOrElse {
            log.stateChange("rollout lease not read", "error" to it.toString())
            null
        }
        lease?.record?.takeIf { it.isNews(knownHolder, lease.revision.era) }?.let { holderKnown(it.holder) }
    }

    /**
     * Confirms or takes over the lease if necessary; returns the fencing token, null if it cannot be used now.
     *
     * @param targets the target weights that are ordered with it; newer ones than before get a token of their own
     * @param mayTake whether to take it over if another gateway, or none, holds it
     */
    suspend fun confirmedToken(
        targets: Map<ModelName, WeightsNumber> = emptyMap(),
        mayTake: Boolean = true,
    ): Long? {
        confirming.withLock {
            wanted = targets
            if (!isConfirmed || !isTokenOf(targets)) {
                failedAt = if (confirm(mayTake)) null else MonotonicTime.now()
            }
        }
        val isUsable = isConfirmed && isTokenOf(targets) && MonotonicTime.now() >= usableFrom
        return knownHolder?.takeIf { it.vm == self && isUsable }?.fencingToken
    }

    /** Gives up the lease after a replica has rejected this gateway's token for a higher one. */
    fun fenced() {
        confirmation = null
        knownHolder = null
    }

    /** Whether the token was taken for [targets] or newer ones. */
    private fun isTokenOf(targets: Map<ModelName, WeightsNumber>) =
        targets.all { (model, number) -> tokenTargets[model].let { it != null && it >= number } }

    /** Returns whether the store has answered, so that this gateway holds the lease or knows who does. */
    private suspend fun confirm(mayTake: Boolean): Boolean {
        val formerHolder = knownHolder
        val started = Confirmation(MonotonicTime.now(), System.currentTimeMillis())
        return stored.read().fold(
            success = { lease ->
                val record = lease?.record
                when {
                    record != null && isHeldHere(record, lease.revision.era) -> held(record, lease.revision, started)
                    record != null && record.vm != self && record.isNews(knownHolder, lease.revision.era) -> {
                        holderKnown(record.holder)
                        mayTakeFrom = started.at + TURN
                        true
                    }
                    mayTake && knownHolder == formerHolder && started.at >= mayTakeFrom ->
                        takeOver(record, lease?.revision)
                    else -> true
                }
            },
            failure = {
                log.stateChange("rollout lease not confirmed", "error" to it.toString())
                false
            },
        )
    }

    /** Records that this gateway holds the lease; returns whether the store has answered. */
    private suspend fun held(record: LeaseRecord, revision: Revision, started: Confirmation): Boolean {
        if (knownHolder != record.holder) {
            // A write without a response took effect; the former holder may still have a confirmation.
            usableFrom = started.at + HANDOVER_DELAY
        }
        knownHolder = record.holder
        if (!isTokenOf(wanted)) return takeOver(record, revision)
        confirmation = started
        return true
    }

    /** Returns whether the store has answered. */
    private suspend fun takeOver(former: LeaseRecord?, revision: Revision?): Boolean {
        val highest = maxOf(former?.fencingToken ?: 0, knownHolder?.fencingToken ?: 0)
        val token = FencingToken(highest).next(stored.era)
        val isFirst = former == null && knownHolder == null && isFirstStart
        val started = Confirmation(MonotonicTime.now(), System.currentTimeMillis())
        return stored.write(LeaseRecord(self, incarnation, token.number), revision).fold(
            success = { written ->
                knownHolder = PeerMessage.RolloutHolder(self, token.number)
                // A lease that was written into a later era than that of its token has to be taken once more.
                confirmation = started.takeIf { token.era >= written.era }
                tokenTargets = wanted
                usableFrom = when {
                    former != null && isHeldHere(former, written.era) -> usableFrom
                    isFirst -> started.at
                    // A process of this VM, which has ended by the start of this one, had the last token.
                    former?.vm == self && former.fencingToken == highest && former.era >= written.era ->
                        startedAt + HANDOVER_DELAY
                    else -> started.at + HANDOVER_DELAY
                }
                log.stateChange(
                    "rollout lease taken",
                    "token" to token.number,
                    "era" to token.era.number,
                    "former" to former?.vm?.text,
                )
                true
            },
            failure = {
                log.stateChange("rollout lease not taken", "error" to it.toString())
                it is StoreError.Conflict
            },
        )
    }

    private fun holderKnown(holder: PeerMessage.RolloutHolder) {
        log.stateChange(
            "rollout holder known",
            "holder" to holder.vm.text,
            "token" to holder.fencingToken,
            "former" to knownHolder?.vm?.text,
        )
        knownHolder = holder
        confirmation = null
    }

    /**
     * Whether this gateway holds the lease [record]. One that was taken before [era] may have been taken over since, in
     * a part of the store's history that is lost.
     */
    private fun isHeldHere(record: LeaseRecord, era: StoreEra) =
        record.vm == self && record.incarnation == incarnation && record.era >= era

    private companion object {
        val CONFIRMATION_VALIDITY = 700.milliseconds
        val FAILURE_PERIOD = 3.seconds

        /** The former holder's last confirmation and the order sent under it have expired by then. */
        val HANDOVER_DELAY = 1000.milliseconds

        /** Leaves a holder that has waited for [HANDOVER_DELAY] the time for a round of orders. */
        val TURN = 1700.milliseconds
    }
}
