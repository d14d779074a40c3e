package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.json.JsonElement
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.RevisionTimes
import org.guavapath.core.store.StoreEra
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.StoredObject
import org.guavapath.core.store.WatchResult
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration

/**
 * Passes all calls to [store] at once and keeps the newest era that its responses, or other gateways, state.
 *
 * Callers that repeat failed calls wait for their turn of [backOff] first.
 */
internal class EraTrackingStore(private val store: ObjectStore, private val log: GatewayLog) : ObjectStore {
    private val newest = MutableStateFlow(StoreEra.UNKNOWN)

    private val unanswered = MutableStateFlow(0)

    /** Number of calls without an answer, apart from watches; watches that wait may get none either. */
    val unansweredCalls: StateFlow<Int> = unanswered.asStateFlow()

    /** Tells when to repeat calls that failed. */
    val backOff = StoreBackOff()

    /** When which revision was shown. */
    val revisionTimes = RevisionTimes()

    /** The newest era that is known. */
    val era: StateFlow<StoreEra> = newest.asStateFlow()

    /** When the store was last seen to have returned from an older copy, null if never. */
    var restoredAt: MonotonicTime? = null
        private set

    /** Records that the gateway [from] knows of [era]; a member of a hub makes no calls itself. */
    fun told(era: StoreEra, from: VmId) = update(era, "from" to from.text)

    override suspend fun list(kind: ObjectKind): Result<Listing, StoreError> {
        val calledAt = MonotonicTime.now()
        return tracked({ store.list(kind) }) { it.asOf }.onSuccess { revisionTimes.record(it.asOf, calledAt) }
    }

    override suspend fun watch(kind: ObjectKind, after: Revision, timeout: Duration): Result<WatchResult, StoreError> {
        val calledAt = MonotonicTime.now()
        return tracked({ store.watch(kind, after, timeout) }, isWatch = true) { (it as? WatchResult.Changes)?.asOf }
            .onSuccess { result -> (result as? WatchResult.Changes)?.let { revisionTimes.record(it.asOf, calledAt) } }
    }

    override suspend fun read(kind: ObjectKind, name: String): Result<StoredObject?, StoreError> =
        tracked({ store.read(kind, name) }) { it?.revision }

    override suspend fun create(kind: ObjectKind, name: String, value: JsonElement): Result<StoredObject, StoreError> =
        tracked({ store.create(kind, name, value) }) { it.revision }

    override suspend fun replace(
        kind: ObjectKind,
        name: String,
        value: JsonElement,
        condition: Revision,
    ): Result<StoredObject, StoreError> = tracked({ store.replace(kind, name, value, condition) }) { it.revision }

    override suspend fun replaceStatus(
        kind: ObjectKind,
        name: String,
        status: JsonElement,
        condition: Revision,
    ): Result<StoredObject, StoreError> = tracked(
        { store.replaceStatus(kind, name, status, condition) }
    ) { it.revision }

    override suspend fun remove(kind: ObjectKind, name: String, condition: Revision): Result<Unit, StoreError> =
        tracked({ store.remove(kind, name, condition) }) { null }

    private inline fun <T> tracked(
        call: () -> Result<T, StoreError>,
        isWatch: Boolean = false,
        revisionOf: (T) -> Revision?,
    ): Result<T, StoreError> {
        val calledAt = MonotonicTime.now()
        var isAnswered = false
        val result = try {
            call().also { isAnswered = it.getError() !is StoreError.Unknown }
        } finally {
            // A caller that does not wait any longer cancels its call.
            if (!isAnswered && !isWatch) unanswered.value += 1
        }
        return result.onSuccess { value ->
            backOff.succeeded()
            revisionOf(value)?.let { update(it.era, "revision" to it.number) }
        }.onFailure { error ->
            when (error) {
                is StoreError.Refused, is StoreError.Unknown -> backOff.failed(calledAt, error)
                is StoreError.Conflict -> {
                    backOff.succeeded()
                    error.present?.let { update(it.revision.era, "revision" to it.revision.number) }
                }
            }
        }
    }

    private fun update(era: StoreEra, source: Pair<String, Any>) {
        val before = newest.value
        if (era <= before) return
        if (before != StoreEra.UNKNOWN) restoredAt = MonotonicTime.now()
        newest.value = era
        log.stateChange(
            if (before == StoreEra.UNKNOWN) "store era" else "store restored",
            "era" to era.number,
            "former" to before.number.takeIf { it > 0 },
            source,
        )
    }
}
