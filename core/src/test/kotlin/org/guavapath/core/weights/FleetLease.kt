package org.guavapath.core.weights

import org.guavapath.core.identity.VmId
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The holder of the rollout lease, as gateways tell each other. */
internal data class FleetHolder(val vm: VmId, val token: FencingToken)

/** The rollout lease as one process of a gateway sees it: the daemon's `RolloutLease`. */
internal class FleetLease(
    private val self: VmId,
    private val incarnation: Int,
    private val store: FleetStore,
    private val process: FleetProcess,
    private val onEvent: (String) -> Unit,
) {
    private val startedAt = process.clock.now
    private var confirmedAt: MonotonicTime? = null
    private var failedAt: MonotonicTime? = null
    private var usableFrom = MonotonicTime.ZERO
    private val now: MonotonicTime get() = process.clock.now

    /** Called when the store has returned from an older copy. */
    var onRestored: () -> Unit = {}

    /** The newest era of the store that is known. */
    var era = StoreEra(1)
        private set
    var knownHolder: FleetHolder? = null
        private set
    val isFailing: Boolean get() = failedAt?.let { now - it < FAILURE_PERIOD } ?: false
    val isConfirmed: Boolean get() = confirmedAt?.let { now - it < CONFIRMATION_VALIDITY } ?: false

    fun eraSeen(seen: StoreEra) {
        if (seen <= era) return
        era = seen
        onRestored()
    }

    fun holderReceived(holder: FleetHolder?) {
        val present = knownHolder
        if (holder != null && (present == null || holder.token > present.token)) {
            knownHolder = holder
            confirmedAt = null
        }
    }

    /** Confirms or takes over the lease if necessary; returns the fencing token, null if it cannot be used now. */
    suspend fun confirmedToken(): FencingToken? {
        if (!isConfirmed) {
            confirm(now + CONFIRMATION_TIMEOUT)
            if (!isConfirmed && !isFailing) onEvent("cannot confirm the lease")
            failedAt = if (isConfirmed) null else now
        }
        val isUsable = isConfirmed && now >= usableFrom
        return knownHolder?.takeIf { it.vm == self && isUsable }?.token
    }

    fun fenced() {
        confirmedAt = null
        knownHolder = null
    }

    private suspend fun confirm(end: MonotonicTime) {
        val calledAt = now
        val stored = call<StoredLease?>(end) { answer -> store.readLease(self, answer) } ?: return
        val lease = stored.value
        if (lease != null && isOfThisProcess(lease) && lease.token.era >= stored.era) {
            knownHolder = FleetHolder(self, lease.token)
            confirmedAt = calledAt
        } else {
            takeOver(lease, calledAt, end)
        }
    }

    private fun isOfThisProcess(lease: StoredLease) = lease.vm == self && lease.incarnation == incarnation

    private suspend fun takeOver(former: StoredLease?, calledAt: MonotonicTime, end: MonotonicTime) {
        val highest = maxOf(former?.token ?: FencingToken.NONE, knownHolder?.token ?: FencingToken.NONE)
        val isFirst = former == null && knownHolder == null && incarnation == 1
        val next = StoredLease(self, incarnation, highest.next(era), former?.revision ?: Revision.NONE)
        val written = call<StoredLease?>(end) { store.writeLease(self, next, former?.revision, it) }
        if (written?.value == null) return
        knownHolder = FleetHolder(self, next.token)
        confirmedAt = calledAt.takeIf { next.token.era >= written.era }
        val isOfFormerProcess = former?.vm == self && former.incarnation != incarnation &&
            former.token == highest && highest.era >= written.era
        usableFrom = when {
            isFirst -> calledAt
            isOfFormerProcess -> startedAt + HANDOVER_DELAY
            else -> calledAt + HANDOVER_DELAY
        }
        onEvent("takes the lease with token ${next.token} from ${former?.vm}")
    }

    private suspend fun <T> call(
        end: MonotonicTime,
        start: (answer: (StoreAnswer<T>) -> Unit) -> Unit,
    ): StoreAnswer.Success<T>? {
        val timeout = minOf(CALL_TIMEOUT, end - now)
        if (timeout <= Duration.ZERO) return null
        val result = process.call<StoreAnswer<T>>(timeout, start) as? StoreAnswer.Success<T>
        if (result != null) eraSeen(result.era)
        return result?.takeIf { now < end }
    }

    private companion object {
        val CONFIRMATION_VALIDITY = 700.milliseconds
        val CONFIRMATION_TIMEOUT = 600.milliseconds
        val FAILURE_PERIOD = 3.seconds
        val HANDOVER_DELAY = 1.seconds
        val CALL_TIMEOUT = 2.seconds
    }
}
