package org.guavapath.daemon.gateway

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.store.StoredObject
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.FencingToken
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The lease as stored. */
@Serializable
internal data class LeaseRecord(val vm: VmId, val incarnation: Incarnation, val fencingToken: Long)

/**
 * The lease of the one gateway that orders replicas to load weights.
 *
 * The lease does not expire by itself: another gateway takes it over with a higher fencing token. The former holder
 * notices when it confirms its token, which it does shortly before each order. A confirmation is valid briefly and by
 * both the monotonic and the wall clock, so that a gateway that was frozen or suspended confirms again.
 *
 * A store that returns from an older copy may lack the last holders, or all of them. A lease is therefore taken anew in
 * each era, with a token that is higher than all of former eras.
 *
 * @param isFirstStart whether the fleet starts for the first time, so that there was no holder before
 */
internal class RolloutLease(
    private val self: VmId,
    private val incarnation: Incarnation,
    private val store: EraTrackingStore,
    private val isFirstStart: Boolean,
    private val log: GatewayLog,
) {
    /** A confirmation of the lease; its validity counts from the start of the store calls. */
    private class Confirmation(val at: MonotonicTime, val wallClock: Long)

    private var confirmation: Confirmation? = null
    private val startedAt = MonotonicTime.now()
    private var usableFrom = MonotonicTime.ZERO

    private var failedAt: MonotonicTime? = null

    /** Whether the last confirmation failed lately; another gateway should take over then. */
    val isFailing: Boolean get() = failedAt?.let { MonotonicTime.now() - it < FAILURE_PERIOD } ?: false

    /** The holder as far as this gateway knows. */
    var knownHolder: PeerMessage.RolloutHolder? = null
        private set

    /** Applies the [holder] that another gateway reported if its token is newer. */
    fun holderReceived(holder: PeerMessage.RolloutHolder?) {
        val present = knownHolder
        if (holder != null && (present == null || holder.fencingToken > present.fencingToken)) {
            knownHolder = holder
            confirmation = null
        }
    }

    /** Confirms or takes over the lease if necessary; returns the fencing token, null if it cannot be used now. */
    suspend fun confirmedToken(): Long? {
        if (!isConfirmed()) {
            withTimeoutOrNull(CONFIRMATION_TIMEOUT) {
                store.backOff.awaitTurn()
                confirm()
            }
            failedAt = if (isConfirmed()) null else MonotonicTime.now()
        }
        val isUsable = isConfirmed() && MonotonicTime.now() >= usableFrom
        return knownHolder?.takeIf { it.vm == self && isUsable }?.fencingToken
    }

    /** Whether the last confirmation is still valid. */
    fun isConfirmed(): Boolean {
        val last = confirmation ?: return false
        val monotonicElapsed = MonotonicTime.now() - last.at
        val wallElapsed = (System.currentTimeMillis() - last.wallClock).milliseconds
        return monotonicElapsed < CONFIRMATION_VALIDITY &&
            wallElapsed < CONFIRMATION_VALIDITY && wallElapsed > -CONFIRMATION_VALIDITY
    }

    /** Gives up the lease after a replica has rejected this gateway's token for a higher one. */
    fun fenced() {
        confirmation = null
        knownHolder = null
    }

    private suspend fun confirm() {
        val newConfirmation = Confirmation(MonotonicTime.now(), System.currentTimeMillis())
        val stored = store.read(LEASES, LEASE).getOrElse {
            log.stateChange("rollout lease not confirmed", "error" to it.toString())
            return
        }
        val record = stored?.let { decode(it) }
        if (record != null && isHeldHere(record, stored.revision.era)) {
            knownHolder = PeerMessage.RolloutHolder(self, record.fencingToken)
            confirmation = newConfirmation
        } else {
            takeOver(record, stored?.revision, newConfirmation)
        }
    }

    /**
     * Whether this gateway holds the lease [record]. One that was taken before [era] may have been taken over since, in
     * a part of the store's history that is lost.
     */
    private fun isHeldHere(record: LeaseRecord, era: StoreEra) =
        record.vm == self && record.incarnation == incarnation && FencingToken(record.fencingToken).era >= era

    private suspend fun takeOver(former: LeaseRecord?, revision: Revision?, newConfirmation: Confirmation) {
        val highest = maxOf(former?.fencingToken ?: 0, knownHolder?.fencingToken ?: 0)
        val token = FencingToken(highest).next(store.era.value)
        val isFirst = former == null && knownHolder == null && isFirstStart
        val value = Json.encodeToJsonElement(LeaseRecord.serializer(), LeaseRecord(self, incarnation, token.number))
        val written = if (revision == null) {
            store.create(LEASES, LEASE, value)
        } else {
            store.replace(LEASES, LEASE, value, revision)
        }
        written.fold(
            success = {
                knownHolder = PeerMessage.RolloutHolder(self, token.number)
                // A lease that was written into a later era than that of its token has to be taken once more.
                confirmation = newConfirmation.takeIf { _ -> token.era >= it.revision.era }
                usableFrom = when {
                    isFirst -> newConfirmation.at
                    // A process of this VM, which has ended by the start of this one, had the last token.
                    isOfFormerProcess(former, highest, it.revision.era) -> startedAt + HANDOVER_DELAY
                    else -> newConfirmation.at + HANDOVER_DELAY
                }
                log.stateChange(
                    "rollout lease taken",
                    "token" to token.number,
                    "era" to token.era.number,
                    "former" to former?.vm?.text,
                )
            },
            failure = { log.stateChange("rollout lease not taken", "error" to it.toString()) },
        )
    }

    /** Whether the last holder was a process of this VM that has ended. */
    private fun isOfFormerProcess(former: LeaseRecord?, highestToken: Long, era: StoreEra): Boolean =
        former?.vm == self && former.incarnation != incarnation && former.fencingToken == highestToken &&
            FencingToken(highestToken).era >= era

    private fun decode(stored: StoredObject): LeaseRecord? = try {
        Json.decodeFromJsonElement(LeaseRecord.serializer(), stored.value)
    } catch (exception: SerializationException) {
        log.stateChange("rollout lease not readable", "error" to exception.message)
        null
    }

    private companion object {
        val LEASES = ObjectKind("guavapath-leases")
        const val LEASE = "rollout"
        val CONFIRMATION_VALIDITY = 700.milliseconds
        val CONFIRMATION_TIMEOUT = 600.milliseconds

        val FAILURE_PERIOD = 3.seconds

        /** The former holder's last confirmation and the order sent under it have expired by then. */
        val HANDOVER_DELAY = 1000.milliseconds
    }
}
