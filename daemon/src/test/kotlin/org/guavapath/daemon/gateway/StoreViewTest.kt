package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonPrimitive
import org.guavapath.core.identity.Incarnation
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
import org.guavapath.daemon.keepRunning
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreViewTest {
    /** A store that fails all calls to list and watch, and counts them. */
    private class DownStore : ObjectStore by SampleStore(SampleFleet("127.0.0.1:1")) {
        var calls = 0
        var reads = 0
        var askedWait: Duration? = null

        override suspend fun read(kind: ObjectKind, name: String): Result<StoredObject?, StoreError> {
            reads += 1
            return Err(StoreError.Refused("down"))
        }

        override suspend fun list(kind: ObjectKind): Result<Listing, StoreError> = refused()

        override suspend fun watch(
            kind: ObjectKind,
            after: Revision,
            timeout: Duration,
        ): Result<WatchResult, StoreError> = refused()

        private fun refused(): Result<Nothing, StoreError> {
            calls += 1
            return Err(StoreError.Refused("down", askedWait))
        }
    }

    /** A store that never answers calls to read and watch that begin while it is silent. */
    private class SilentStore(private val store: ObjectStore) : ObjectStore by store {
        var isSilent = true

        override suspend fun read(kind: ObjectKind, name: String): Result<StoredObject?, StoreError> =
            if (isSilent) awaitCancellation() else store.read(kind, name)

        override suspend fun watch(
            kind: ObjectKind,
            after: Revision,
            timeout: Duration,
        ): Result<WatchResult, StoreError> =
            if (isSilent) awaitCancellation() else store.watch(kind, after, timeout)
    }

    /** Guards against changes that are not seen for as long as a watch may take, as the store never answers it. */
    @Test
    fun aWatchThatTheStoreMayNeverAnswerIsGivenUp() = runBlocking {
        val memory = MemoryStore(SampleFleet("127.0.0.1:1"))
        val silent = SilentStore(CountingStore(memory))
        val tracked = EraTrackingStore(silent, GatewayLog())
        val followed = StoreView(StoreKinds.WEIGHTS, tracked, GatewayLog()) {}
        val following = launch { followed.follow() }
        val isListed = withTimeoutOrNull(PROMPT * 4) { while (followed.objects.isEmpty()) delay(10.milliseconds) }
        assertNotNull(isListed, "the view is listed")
        assertNull(withTimeoutOrNull(PROMPT) { tracked.read(StoreKinds.WEIGHTS, "none") }, "the store is silent")
        silent.isSilent = false
        memory.write(StoreKinds.WEIGHTS, "new", JsonPrimitive(1))
        val isSeen = withTimeoutOrNull(PROMPT) { while ("new" !in followed.objects) delay(10.milliseconds) }
        assertNotNull(isSeen, "the change is seen")
        following.cancel()
    }

    private companion object {
        /** Time in which a view sees a change while the store responds. */
        val PROMPT = 500.milliseconds
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

    /** Guards against an object that goes back to an earlier revision while a copy catches up. */
    @Test
    fun noObjectGoesBackToAnEarlierRevision() {
        fun revisions() = view.objects.mapValues { it.value.revision.number }
        view.adopt(Listing(mapOf("a" to stored("a", 5), "b" to stored("b", 15)), Revision(10)), "hub")
        adopt(after = 10, asOf = 12, name = "b")
        assertEquals(mapOf("a" to 5L, "b" to 15L), revisions(), "a change that the copy has already")
        adopt(after = 12, asOf = 13, name = "b", isRemoved = true)
        assertEquals(mapOf("a" to 5L, "b" to 15L), revisions(), "a removal before the object was created anew")
        view.adopt(Listing(mapOf("a" to stored("a", 5), "b" to stored("b", 9)), Revision(14)), "other")
        assertEquals(mapOf("a" to 5L, "b" to 15L), revisions(), "a copy from before that change")
        adopt(after = 14, asOf = 16, name = "b", isRemoved = true)
        assertEquals(mapOf("a" to 5L), revisions(), "a later removal")
        view.adopt(Listing(emptyMap(), Revision(17)), "other")
        assertEquals(emptyMap(), revisions(), "a copy after all of these changes")
    }

    /** Guards against a whole copy for each change, as watches without changes move on the copy of the hub only. */
    @Test
    fun aChangeAfterWatchesWithoutChangesIsTakenAsTheNextOne() = runBlocking {
        val memory = MemoryStore(SampleFleet("127.0.0.1:1"))
        val kind = ObjectKind("kind")
        val read = StoreView(kind, EraTrackingStore(CountingStore(memory), GatewayLog()), GatewayLog()) {}
        val isTaken = ArrayList<Boolean>()
        read.onWatched = { after, result ->
            if (result.changes.isNotEmpty()) isTaken += view.adopt(result, after)
        }
        val following = launch { read.follow() }
        memory.write(kind, "first", JsonPrimitive(1))
        delay(PROMPT)
        view.adopt(Listing(read.objects, read.asOf), "hub")
        isTaken.clear()
        memory.write(ObjectKind("other"), "other", JsonPrimitive(1))
        delay(ObjectStore.MAX_WATCH + PROMPT)
        assertTrue(read.asOf > view.asOf, "a watch without changes has moved on")
        memory.write(kind, "second", JsonPrimitive(1))
        delay(PROMPT)
        assertEquals(listOf(true), isTaken)
        assertEquals(setOf("first", "second"), view.objects.keys)
        following.cancel()
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

    /** Guards against views that each go on calling a store that rejects all calls, at an unchanged rate. */
    @Test
    fun viewsShareTheirCallsToAStoreThatRejects() = runBlocking {
        val tracked = EraTrackingStore(store, GatewayLog())
        val views = List(4) { StoreView(ObjectKind("kind-$it"), tracked, GatewayLog()) {} }
        withTimeoutOrNull(4.seconds) { views.map { launch { it.follow() } }.joinAll() }
        assertTrue(store.calls in 5..20, "${store.calls} calls")
        assertTrue(views.none { it.isAvailable }, "views without calls of their own are not available either")
    }

    /** Guards against views that stay behind after the store's return, and against a late repeat of one lost call. */
    @Test
    fun allViewsFollowTheStoreSoonAfterItsReturn() {
        data class Case(val name: String, val downtime: Duration, val timeout: Duration)
        listOf(
            Case("one lost call", 30.milliseconds, 500.milliseconds),
            Case("rejections of 0.2 s", 200.milliseconds, 2.seconds),
            Case("rejections of 3 s", 3.seconds, 2.seconds),
        ).forEach { case ->
            runBlocking {
                val memory = MemoryStore(SampleFleet("127.0.0.1:1"))
                val tracked = EraTrackingStore(CountingStore(memory), GatewayLog())
                val kinds = List(4) { ObjectKind("kind-$it") }
                val views = kinds.map { StoreView(it, tracked, GatewayLog()) {} }
                val following = views.map { launch { it.follow() } }
                delay(100.milliseconds)
                memory.isDown = true
                delay(case.downtime)
                kinds.forEach { memory.write(it, "first", JsonPrimitive(1)) }
                memory.isDown = false
                val isBack = withTimeoutOrNull(case.timeout) { awaitObjects(views, setOf("first")) }
                assertNotNull(isBack, "${case.name}: not all views are back")
                kinds.forEach { memory.write(it, "second", JsonPrimitive(1)) }
                val isPrompt = withTimeoutOrNull(PROMPT) { awaitObjects(views, setOf("first", "second")) }
                assertNotNull(isPrompt, "${case.name}: a change is seen late once the store responds")
                assertTrue(views.all { it.isAvailable }, case.name)
                following.forEach { it.cancel() }
            }
        }
    }

    private suspend fun awaitObjects(views: List<StoreView>, names: Set<String>) {
        while (views.any { it.objects.keys != names }) delay(10.milliseconds)
    }

    /** Guards against a call of one loop before the time that the store asked another one to wait for. */
    @Test
    fun aWaitThatTheStoreAsksForHoldsForAllCallers() = runBlocking {
        val tracked = EraTrackingStore(store, GatewayLog())
        store.askedWait = 1.seconds
        val views = List(4) { StoreView(ObjectKind("kind-$it"), tracked, GatewayLog()) {} }
        withTimeoutOrNull(900.milliseconds) { views.map { launch { it.follow() } }.joinAll() }
        val stored = StoredRolloutLease(tracked, GatewayLog())
        val lease = RolloutLease(VmId("vm"), Incarnation(1), stored, isFirstStart = false, GatewayLog())
        assertEquals(1, store.calls, "the others wait with the first one")
        val reads = store.reads
        store.askedWait = 5.seconds
        tracked.list(ObjectKind("kind"))
        assertNull(lease.confirmedToken())
        assertEquals(reads, store.reads, "the lease is not read")
    }

    /** Guards against a view that never tells of changes again after one of its readers has failed on one. */
    @Test
    fun aChangeOnWhichTheReaderFailsIsToldAgain() = runBlocking {
        val memory = MemoryStore(SampleFleet("127.0.0.1:1"))
        val tracked = EraTrackingStore(CountingStore(memory), GatewayLog())
        val told = ArrayList<Set<String>>()
        var failures = 0
        val kind = ObjectKind("kind")
        val failing = StoreView(kind, tracked, GatewayLog()) {
            if ("bad" in it.objects && failures++ < 2) throw StackOverflowError()
            told += it.changed.map { stored -> stored.name }.toSet()
        }
        val following = keepRunning("view") { failing.follow() }
        delay(100.milliseconds)
        memory.write(kind, "bad", JsonPrimitive(1))
        val isTold = withTimeoutOrNull(5.seconds) { while (told.none { "bad" in it }) delay(10.milliseconds) }
        assertNotNull(isTold, "the change is told: $told")
        memory.write(kind, "next", JsonPrimitive(1))
        val isNextTold = withTimeoutOrNull(PROMPT) { while (told.none { "next" in it }) delay(10.milliseconds) }
        assertNotNull(isNextTold, "the next change is told: $told")
        following.cancel()
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
