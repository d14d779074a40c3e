package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonPrimitive
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.Change
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.StoredObject
import org.guavapath.core.store.WatchResult
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StoreViewTest {
    /** A store that fails all calls to list and watch, and counts them. */
    private class DownStore : ObjectStore by SampleStore(SampleFleet("127.0.0.1:1")) {
        var calls = 0

        override suspend fun list(kind: ObjectKind): Result<Listing, StoreError> = refused()

        override suspend fun watch(
            kind: ObjectKind,
            after: Revision,
            timeout: Duration,
        ): Result<WatchResult, StoreError> = refused()

        private fun refused(): Result<Nothing, StoreError> {
            calls += 1
            return Err(StoreError.Refused("down"))
        }
    }

    private val store = DownStore()
    private val view = StoreView(ObjectKind("kind"), EraTrackingStore(store, GatewayLog()), GatewayLog()) {}

    private fun stored(name: String, revision: Long) = StoredObject(name, Revision(revision), JsonPrimitive(revision))

    private fun adopt(after: Long, asOf: Long, name: String, isRemoved: Boolean = false): Boolean {
        val change = Change(name, Revision(asOf), if (isRemoved) null else stored(name, asOf))
        return view.adopt(WatchResult.Changes(listOf(change), Revision(asOf)), Revision(after))
    }

    @Test
    fun changesAreAppliedInOrderOnly() {
        data class Step(val after: Long, val asOf: Long, val isApplied: Boolean, val names: Set<String>)
        view.adopt(Listing(mapOf("first" to stored("first", 5)), Revision(5)), "hub")
        listOf(
            Step(after = 5, asOf = 7, isApplied = true, names = setOf("first", "change-7")),
            Step(after = 5, asOf = 6, isApplied = true, names = setOf("first", "change-7")),
            Step(after = 9, asOf = 10, isApplied = false, names = setOf("first", "change-7")),
            Step(after = 6, asOf = 12, isApplied = true, names = setOf("first", "change-7", "change-12")),
        ).forEach { step ->
            assertEquals(step.isApplied, adopt(step.after, step.asOf, "change-${step.asOf}"), "$step")
            assertEquals(step.names, view.objects.keys, "$step")
        }
        adopt(after = 12, asOf = 13, name = "first", isRemoved = true)
        assertEquals(setOf("change-7", "change-12"), view.objects.keys)
    }

    @Test
    fun anOlderCopyIsIgnored() {
        view.adopt(Listing(mapOf("new" to stored("new", 9)), Revision(9)), "hub")
        view.adopt(Listing(mapOf("old" to stored("old", 3)), Revision(3)), "other")
        assertEquals(setOf("new"), view.objects.keys)
    }

    @Test
    fun followCallsTheStoreOnlyWhileReading() = runBlocking {
        view.isReading.value = false
        withTimeoutOrNull(300.milliseconds) { view.follow() }
        assertEquals(0, store.calls)
        view.isReading.value = true
        withTimeoutOrNull(300.milliseconds) { view.follow() }
        assertEquals(true, store.calls > 0)
    }

    /** Guards against listing without a pause while the store's responses are of an earlier era than is known. */
    @Test
    fun aStoreThatStatesAnEarlierEraIsListedNowAndThen() = runBlocking {
        val early = CountingStore(MemoryStore(SampleFleet("127.0.0.1:1")))
        val tracked = EraTrackingStore(early, GatewayLog())
        val earlyView = StoreView(StoreKinds.CONFIGURATIONS, tracked, GatewayLog()) {}
        tracked.told(StoreEra(5), VmId("other"))
        withTimeoutOrNull(600.milliseconds) { earlyView.follow() }
        assertEquals(1, earlyView.objects.size)
        assertTrue(early.reads.get() in 2..4, "${early.reads.get()} calls")
    }
}
