package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Linked gateways and a store that returns from an older copy. */
private class RestoredFleet(gateways: Int) {
    private val sample = SampleFleet("127.0.0.1:1")
    private val first = SampleSettings(vm = "vm-00")
    private val settings = (1 until gateways).mapTo(arrayListOf(first)) { SampleSettings("vm-%02d".format(it), first) }
    val store = MemoryStore(sample)

    init {
        settings.forEach { start(it) }
        check(await(START_TIMEOUT) { versions().all { it == 1 } }) { "the gateways have no configuration" }
        check(await(START_TIMEOUT) { store.list(Members.KIND).objects.size == gateways }) { "not all are registered" }
        Thread.sleep(LINK_TIME.inWholeMilliseconds)
    }

    private fun SampleSettings(vm: String, seed: SampleSettings) = SampleSettings(vm, seeds = listOf(seed.peers))

    private fun start(settings: SampleSettings) = Gateway(settings.read(), CountingStore(store)).start()

    /** Starts one more gateway. */
    fun startAnother() {
        val added = SampleSettings("vm-%02d".format(settings.size), first)
        settings.add(added)
        start(added)
    }

    /** Stores the configuration with [version]. */
    fun configure(version: Int) {
        store.write(StoreKinds.CONFIGURATIONS, SampleFleet.CONFIGURATION_NAME, sample.configuration(version))
    }

    /** Stores [count] changes that concern no gateway. */
    fun writeOthers(count: Int) = repeat(count) { store.write(StoreKinds.WEIGHTS, "other-$it", sample.weights) }

    /** Takes the store down and lets it return as it was after its first [changes] changes. */
    fun restore(changes: Int, downtime: Duration) {
        store.isDown = true
        Thread.sleep(downtime.inWholeMilliseconds)
        store.restore(changes)
        store.isDown = false
    }

    /** Returns the version of the configuration in force on each gateway, 0 for none. */
    fun versions(): List<Int> = settings.map { versionAt(it.readiness) }

    /** Returns whether [isTrue] within [timeout]. */
    fun await(timeout: Duration, isTrue: () -> Boolean): Boolean {
        val until = TimeSource.Monotonic.markNow() + timeout
        while (!isTrue() && until.hasNotPassedNow()) Thread.sleep(POLL.inWholeMilliseconds)
        return isTrue()
    }

    private fun versionAt(port: Int): Int = runCatching {
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write(METRICS_REQUEST.toByteArray())
            socket.getInputStream().bufferedReader().lineSequence()
                .first { it.startsWith("guavapath_gateway_configuration_version ") }
                .substringAfter(' ').toDouble().toInt()
        }
    }.getOrDefault(0)

    private companion object {
        const val METRICS_REQUEST = "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        val START_TIMEOUT = 20.seconds
        val LINK_TIME = 2.seconds
        val POLL = 20.milliseconds
    }
}

class StoreRestoreTest {
    /**
     * A fleet whose store returns from a copy.
     *
     * @property before changes that the copy lacks
     * @property after changes that follow the return
     * @property version the version that must be in force on all gateways in the end
     */
    private class Case(
        val name: String,
        val version: Int,
        val before: RestoredFleet.() -> Unit,
        val downtime: Duration = 300.milliseconds,
        val gateways: Int = 3,
        val after: RestoredFleet.() -> Unit,
    )

    private val cases = listOf(
        Case("a change after the return", 3, before = { configure(2) }) { configure(3) },
        Case("a change that is written again and another", 3, before = { configure(2) }) {
            configure(2)
            configure(3)
        },
        Case("a change at a lower revision than before", 2, before = { writeOthers(20) }) { configure(2) },
        Case("a change at a revision given out again", 2, before = { writeOthers(5) }, downtime = Duration.ZERO) {
            writeOthers(2)
            configure(2)
            writeOthers(10)
        },
        Case("a change behind the former revision at once", 2, before = { writeOthers(5) }, downtime = 1.seconds) {
            configure(2)
            writeOthers(20)
        },
        Case("a long absence", 3, before = { configure(2) }, downtime = 3.seconds) { configure(3) },
        Case("a lost change that nobody writes again", 2, before = { configure(2) }) { },
        Case("a gateway that starts after the return", 2, before = { configure(2) }) { startAnother() },
        Case("a fleet with hubs", 2, before = { writeOthers(20) }, gateways = 18) { configure(2) },
    )

    /** Guards against gateways that stay on a former configuration after the store has returned from an older copy. */
    @Test
    fun gatewaysReachTheNewestConfigurationAfterTheStoreReturns() = cases.forEach { case ->
        val fleet = RestoredFleet(case.gateways)
        val copied = fleet.store.size
        case.before(fleet)
        Thread.sleep(WATCH_TIME.inWholeMilliseconds)
        fleet.restore(copied, case.downtime)
        case.after(fleet)
        val isInForce = fleet.await(TIMEOUT) { fleet.versions().all { it == case.version } }
        assertEquals(true, isInForce, "${case.name}: ${fleet.versions()} after $TIMEOUT")
        Thread.sleep(WATCH_TIME.inWholeMilliseconds)
        assertEquals(setOf(case.version), fleet.versions().toSet(), "${case.name}: no gateway goes back")
    }

    private companion object {
        /** Time within which gateways have seen a change while the store responds. */
        val WATCH_TIME = 1.seconds

        /** All gateways are back on the newest configuration within two seconds. */
        val TIMEOUT = 2.seconds
    }
}
