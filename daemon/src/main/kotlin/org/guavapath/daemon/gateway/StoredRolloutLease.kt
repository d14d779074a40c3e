package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.store.StoreError
import org.guavapath.core.weights.FencingToken
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The lease as stored. */
@Serializable
internal data class LeaseRecord(val vm: VmId, val incarnation: Incarnation, val fencingToken: Long) {
    /** The holder as gateways tell each other of it. */
    val holder: PeerMessage.RolloutHolder get() = PeerMessage.RolloutHolder(vm, fencingToken)

    /** The era in which the lease was taken. */
    val era: StoreEra get() = FencingToken(fencingToken).era

    /** Whether this, read in [era], names a later holder than [known]. */
    fun isNews(known: PeerMessage.RolloutHolder?, era: StoreEra): Boolean =
        this.era >= era && fencingToken > (known?.fencingToken ?: 0)
}

/**
 * The stored lease as it was read.
 *
 * @property record the lease, null if it cannot be decoded
 * @property revision of its last change
 */
internal class ReadLease(val record: LeaseRecord?, val revision: Revision)

/** The object of the store that says which gateway holds the rollout lease. */
internal class StoredRolloutLease(private val store: EraTrackingStore, private val log: GatewayLog) {
    /** The newest era of the store that is known. */
    val era: StoreEra get() = store.era.value

    /** Returns the lease, null if none was taken yet. */
    suspend fun read(): Result<ReadLease?, StoreError> = withTimeout {
        store.backOff.awaitTurn()
        store.read(LEASES, LEASE)
    }.map { stored -> stored?.let { ReadLease(decode(it.value), it.revision) } }

    /** Replaces the lease if its last change is that of [revision], null if it does not exist; returns the new one. */
    suspend fun write(record: LeaseRecord, revision: Revision?): Result<Revision, StoreError> {
        val value = Json.encodeToJsonElement(LeaseRecord.serializer(), record)
        return withTimeout {
            if (revision == null) {
                store.create(LEASES, LEASE, value)
            } else {
                store.replace(LEASES, LEASE, value, revision)
            }
        }.map { it.revision }
    }

    private suspend fun <T> withTimeout(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> =
        withTimeoutOrNull(CALL_TIMEOUT) { call() } ?: Err(StoreError.Unknown("no response within $CALL_TIMEOUT"))

    private fun decode(value: JsonElement): LeaseRecord? = try {
        Json.decodeFromJsonElement(LeaseRecord.serializer(), value)
    } catch (exception: IllegalArgumentException) {
        log.stateChange("rollout lease not readable", "error" to exception.message)
        null
    }

    private companion object {
        val LEASES = ObjectKind("guavapath-leases")
        const val LEASE = "rollout"

        /** Shorter than a confirmation is valid, so that there is time to use it. */
        val CALL_TIMEOUT: Duration = 600.milliseconds
    }
}
