package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.WatchResult
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.SampleRequest
import org.guavapath.platform.wire.SampleRoute
import org.guavapath.platform.wire.StoreKinds
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** One gateway's access to a store that can go silent to it alone: calls that run then are given up unanswered. */
private class SilentableStore(private val store: ObjectStore) : ObjectStore by store {
    @Volatile
    var isSilent = false

    override suspend fun list(kind: ObjectKind): Result<Listing, StoreError> {
        if (isSilent) delay(CALL_LIMIT)
        return if (isSilent) UNANSWERED else store.list(kind)
    }

    override suspend fun watch(
        kind: ObjectKind,
        after: Revision,
        timeout: Duration,
    ): Result<WatchResult, StoreError> {
        val begun = TimeSource.Monotonic.markNow()
        val result = if (isSilent) UNANSWERED else store.watch(kind, after, timeout)
        if (!isSilent) return result
        delay(timeout + ObjectStore.WATCH_MARGIN - begun.elapsedNow())
        return UNANSWERED
    }

    private companion object {
        val CALL_LIMIT = 2.seconds
        val UNANSWERED = Err(StoreError.Unknown("no answer"))
    }
}

/** A fleet in which most gateways learn of changes from a hub. */
private class HubFleet : AutoCloseable {
    private val sample = SampleFleet("127.0.0.1:1")
    private val shared = MemoryStore(sample)
    private val settings = linkedSettings(VMS)
    private val silentable = settings.map { SilentableStore(CountingStore(shared)) }
    private val stalling = silentable.map { StallingStore(shared, it) }
    private val gateways = settings.zip(stalling) { sampleSettings, store -> Gateway(sampleSettings.read(), store) }
    private var version = 1

    init {
        gateways.forEach { it.start() }
        awaitTrue("all are registered") { shared.list(Members.KIND).objects.size == VMS }
        Thread.sleep(LINK_TIME.inWholeMilliseconds)
        configure()
        awaitTrue("all have the configuration") { late().isEmpty() }
    }

    fun silenceStore(hub: Int) {
        silentable[hub].isSilent = true
    }

    fun whileFrozen(hub: Int, action: () -> Unit) = stalling[hub].whileStalled(action)

    /** Writes a configuration with a workspace of its own. */
    fun configure() {
        version += 1
        val configuration = sample.configuration(version, mapOf("workspace-$version" to false))
        shared.write(StoreKinds.CONFIGURATIONS, SampleFleet.CONFIGURATION_NAME, configuration)
    }

    /** Returns the members that do not know the workspace of the newest configuration. */
    fun late(): List<Int> = settings.indices.drop(HUBS).filter { !isKeyKnown(settings[it]) }

    private fun isKeyKnown(to: SampleSettings): Boolean {
        val request = SampleRequest(SampleRoute.LOOKUPS, "1", "{}", workspace = "workspace-$version")
        val firstLine = SampleCallers.response(to.callers, request.text("5a")).lines().first()
        return firstLine.startsWith("HTTP/1.1 ") && " 401 " !in firstLine
    }

    override fun close() {
        gateways.forEach { it.close() }
        shared.isAbandoned = true
    }

    companion object {
        const val VMS = 18

        /** The first VMs of the failure domain by name, as all have the same processors. */
        const val HUBS = 2
        val LINK_TIME = 3.seconds
    }
}

class TroubledHubTest {
    private class Case(val name: String, val disturb: HubFleet.(configureAndWait: () -> Unit) -> Unit)

    /** Guards against members that go on with an older configuration while their hub is in trouble (CONFIG). */
    @Test
    fun membersLearnOfAConfigurationInTimeWhileTheirHubIsInTrouble() {
        val cases = listOf(
            Case("the store is silent to the hub") { configureAndWait ->
                silenceStore(HUB)
                configureAndWait()
            },
            Case("the hub is frozen") { configureAndWait -> whileFrozen(HUB, configureAndWait) },
        )
        val late = cases.map { case ->
            HubFleet().use { fleet ->
                var late = emptyList<Int>()
                case.disturb(fleet) {
                    fleet.configure()
                    Thread.sleep(TIME_TO_APPLY.inWholeMilliseconds)
                    late = fleet.late()
                }
                case.name to late
            }
        }
        assertEquals(cases.map { it.name to emptyList<Int>() }, late)
    }

    private companion object {
        /** The hub that members follow: the first VM of the domain. */
        const val HUB = 0

        /** Time within which gateways in touch with the store must apply a configuration. */
        val TIME_TO_APPLY = 3.seconds
    }
}
