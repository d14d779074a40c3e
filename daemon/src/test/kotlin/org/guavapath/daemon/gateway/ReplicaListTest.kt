package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

class ReplicaListTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val log = GatewayLog()

    @AfterTest
    fun stop() {
        group.shutdownGracefully()
    }

    /** One gateway's list of the replicas in a store. */
    private inner class Gateway(private val memory: MemoryStore, private val isMember: Boolean) {
        private val fleet = FleetState(FailureDomainName("domain"), MonotonicTime.now(), isFirstStart = false)
        private val store = EraTrackingStore(CountingStore(memory), log)
        private val replicas = ReplicaList(fleet, ReplicaPool(group.next() as EventLoop), store, log)
        val view = StoreView(StoreKinds.REPLICAS, store, log) {}

        /** After what time another update is due, null if no entry is held back. */
        var nextUpdate: Duration? = null
            private set

        /** Reads the store, or has the copy of a hub, and returns the replicas that take requests. */
        fun read(): Set<String> = runBlocking {
            val listing = memory.list(StoreKinds.REPLICAS)
            if (isMember) store.told(listing.asOf.era, VmId("hub")) else store.list(StoreKinds.REPLICAS)
            view.adopt(listing, "store")
            nextUpdate = replicas.update(view)
            fleet.replicas.all.map { it.entry }.filter { !it.isDraining }.map { it.id.text }.toSet()
        }
    }

    /**
     * Replicas of a store that returns from a copy.
     *
     * @property before changes that the copy lacks, by replica: whether it drains, or null if it leaves
     * @property expected the replicas that take requests right after the return
     */
    private class Case(
        val name: String,
        val before: List<Pair<String, Boolean?>>,
        val after: List<Pair<String, Boolean?>> = emptyList(),
        val expected: Set<String>,
    )

    private fun MemoryStore.writeAll(changes: List<Pair<String, Boolean?>>) = changes.forEach { (name, isDraining) ->
        write(StoreKinds.REPLICAS, name, isDraining?.let { SampleFleet.replicaEntry("127.0.0.1:1", 1, it) })
    }

    /** Guards against requests to replicas that an older copy of the store lists as they were before they left. */
    @Test
    fun replicasThatDrainedOrLeftStayOutWhenTheStoreReturns() {
        val listed = setOf("one", "two")
        val cases = listOf(
            Case("nothing is lost", emptyList(), expected = listed),
            Case("a replica that drains", listOf("two" to true), expected = setOf("one")),
            Case("a replica that drained and left", listOf("two" to true, "two" to null), expected = setOf("one")),
            Case("a replica that left without a word", listOf("two" to null), expected = setOf("one")),
            Case("a replica that the copy lacks", listOf("three" to false), expected = listed + "three"),
            Case(
                "a replica that drains after the return",
                before = emptyList(),
                after = listOf("two" to true),
                expected = setOf("one")
            ),
        )
        cases.flatMap { case -> listOf(case to false, case to true) }.forEach { (case, isMember) ->
            val memory = MemoryStore(SampleFleet("127.0.0.1:1"))
            memory.writeAll(listed.map { it to false })
            val gateway = Gateway(memory, isMember)
            assertEquals(listed, gateway.read(), case.name)
            val copied = memory.size
            case.before.forEach {
                memory.writeAll(listOf(it))
                gateway.read()
            }
            memory.restore(copied)
            gateway.read()
            memory.writeAll(case.after)
            assertEquals(case.expected, gateway.read(), "${case.name}, member of a hub: $isMember")
        }
    }

    /** Guards against replicas that stay listed after they left while the store did not respond. */
    @Test
    fun entriesThatAreMissingAfterAnOutageAreRetainedForALimitedTime() {
        val memory = MemoryStore(SampleFleet("127.0.0.1:1"))
        memory.writeAll(listOf("one" to false, "two" to false))
        val gateway = Gateway(memory, isMember = false)
        gateway.read()
        gateway.view.health.failed("cut off")
        Thread.sleep(OUTAGE.inWholeMilliseconds)
        memory.writeAll(listOf("two" to null))
        assertEquals(setOf("one", "two"), gateway.read(), "while the store does not respond")
        gateway.view.health.succeeded()
        val recovery = TimeSource.Monotonic.markNow()
        while ("two" in gateway.read()) Thread.sleep(assertNotNull(gateway.nextUpdate).inWholeMilliseconds + 1)
        assertTrue(recovery.elapsedNow() in MIN_RETENTION..MAX_RETENTION, "${recovery.elapsedNow()} after the recovery")
    }

    /** Guards against requests to a replica whose entry has become unreadable, and against its staying out for good. */
    @Test
    fun anEntryThatBecomesUnreadableNamesNoReplicaUntilItIsReadableAgain() {
        val contents = listOf(JsonNull, JsonPrimitive("text"), JsonArray(emptyList()), JsonObject(emptyMap()))
        listOf(false, true).forEach { isAfterOutage ->
            val memory = MemoryStore(SampleFleet("127.0.0.1:1"))
            memory.writeAll(listOf("one" to false, "two" to false))
            val gateway = Gateway(memory, isMember = false)
            assertEquals(setOf("one", "two"), gateway.read())
            if (isAfterOutage) {
                gateway.view.health.failed("cut off")
                Thread.sleep(OUTAGE.inWholeMilliseconds)
                gateway.view.health.succeeded()
            }
            contents.forEach { content ->
                memory.write(StoreKinds.REPLICAS, "two", content)
                assertEquals(setOf("one"), gateway.read(), "$content, after an outage: $isAfterOutage")
                memory.writeAll(listOf("two" to false))
                assertEquals(setOf("one", "two"), gateway.read(), "$content, after an outage: $isAfterOutage")
            }
        }
    }

    private companion object {
        /** Longer than what counts as an outage. */
        val OUTAGE = 1200.milliseconds

        /** Replicas write their entries again within about two seconds. */
        val MIN_RETENTION = 2000.milliseconds
        val MAX_RETENTION = 2500.milliseconds
    }
}
