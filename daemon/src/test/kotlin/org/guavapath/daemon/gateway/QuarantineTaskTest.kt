package org.guavapath.daemon.gateway

import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.guavapath.core.fleet.PromptPart
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.VmId
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.quarantine.PartKey
import org.guavapath.core.quarantine.QuarantineVerdict
import org.guavapath.core.quarantine.RequestKey
import org.guavapath.core.quarantine.RunningRequest
import org.guavapath.core.quarantine.Suspect
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.HIGHEST_PROTOCOL_VERSION
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.platform.wire.SampleFleet
import java.util.concurrent.Callable
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class QuarantineTaskTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val store = MemoryStore(SampleFleet("127.0.0.1:1"))
    private val log = GatewayLog()
    private val gateways = HashMap<VmId, QuarantineTask>()
    private val prompt =
        PromptShape(ModelName("model"), 20, 10, listOf(PromptPart("shared", 10), PromptPart("own", 10)))

    /** Delivers messages to the gateways that are linked. */
    private inner class Links(private val self: VmId, private val linked: () -> Set<VmId>) : GatewayPeers {
        override fun broadcast(message: PeerMessage) = linked().forEach { send(it, message) }

        override fun send(to: VmId, message: PeerMessage) {
            if (to !in linked() || message !is PeerMessage.OfCrashes) return
            loop.execute { gateways[to]?.received(self, message) }
        }
    }

    private fun start(name: String, linked: () -> Set<VmId> = { emptySet() }): QuarantineTask {
        val vm = VmId(name)
        val fleet = FleetState(FailureDomainName("domain"), MonotonicTime.now(), isFirstStart = false)
        val stored = StoredCrashReports(EraTrackingStore(CountingStore(store), log), isFirstStart = false, log)
        val task = QuarantineTask(fleet, Links(vm, linked), stored, log)
        gateways[vm] = task
        scope.launch { task.run(scope) }
        return task
    }

    /** Reports that the requests with [suspects] each crashed a replica, one after the other. */
    private fun report(task: QuarantineTask, suspects: Set<Suspect> = PartKey.partsOf(prompt)) = onLoop {
        val now = MonotonicTime.now()
        repeat(CRASHES) { number ->
            val incarnation = ReplicaIncarnation(ReplicaId("replica-$number"), 1)
            val at = now + -1.seconds * (CRASHES - number)
            task.report(CrashReport(incarnation, RequestId("$number"), at, at, suspects + RequestKey(number.toLong())))
        }
    }

    private fun <T> onLoop(block: () -> T): T = loop.submit(Callable { block() }).get(5, TimeUnit.SECONDS)

    private fun awaitQuarantine(task: QuarantineTask, name: String) {
        val until = TimeSource.Monotonic.markNow() + TIMEOUT
        while (!onLoop { isHeld(task, PartKey.partsOf(prompt)) }) {
            assertTrue(until.hasNotPassedNow(), name)
            Thread.sleep(POLL.inWholeMilliseconds)
        }
    }

    private fun isHeld(task: QuarantineTask, suspects: Set<Suspect>) =
        task.verdict(suspects) is QuarantineVerdict.Held

    @AfterTest
    fun stop() {
        scope.cancel()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** Guards against crashing replicas again after all gateways were killed at once. */
    @Test
    fun aGatewayThatStartsAloneReadsTheReportsFromTheStore() {
        report(start("vm-1"))
        val until = TimeSource.Monotonic.markNow() + TIMEOUT
        while (store.list(StoredCrashReports.KIND).objects.isEmpty() && until.hasNotPassedNow()) {
            Thread.sleep(POLL.inWholeMilliseconds)
        }
        awaitQuarantine(start("vm-2"), "read from the store")
    }

    /** Guards against crashing replicas again through a gateway that restarts or was cut off. */
    @Test
    fun aGatewayReceivesTheReportsWhenItLinks() {
        val everyone = setOf(VmId("vm-1"), VmId("vm-2"))
        var linked = emptySet<VmId>()
        val first = start("vm-1") { linked }
        val second = start("vm-2") { linked }
        report(first)
        linked = everyone
        onLoop { second.exchange.linked(VmId("vm-1")) }
        awaitQuarantine(second, "received from a peer")
    }

    /** Reports the crash of a replica on which a request with [suspects] had been [givenUp]. */
    private fun reportBeside(task: QuarantineTask, givenUp: GivenUpCase, suspects: Set<Suspect>, number: Int) {
        val id = ReplicaId("replica-$number")
        val at = MonotonicTime.now() + -1.seconds * (CRASHES - number)
        val givenUpAt = at + -givenUp.before
        val incarnation = ReplicaIncarnation(id, givenUp.startedAt)
        val request = RequestId("given-up-$number")
        val attempt = GivenUpAttempt(incarnation, request, suspects, givenUpAt + -1.seconds, givenUpAt)
        task.givenUp.add(attempt)
        val others = setOf<Suspect>(RequestKey(number.toLong()))
        task.report(CrashReport(ReplicaIncarnation(id, 1), RequestId("$number"), at, at, others))
    }

    private class GivenUpCase(val name: String, val before: Duration, val startedAt: Long, val isHeld: Boolean)

    /** Guards against crashes by requests that a gateway gives up just before, so that nothing shows their cause. */
    @Test
    fun requestsThatWereGivenUpJustBeforeACrashAreSuspected() {
        val cases = listOf(
            GivenUpCase("a second before", 1.seconds, startedAt = 1, isHeld = true),
            GivenUpCase("a minute before", 1.minutes, startedAt = 1, isHeld = false),
            GivenUpCase("on the incarnation before", 1.seconds, startedAt = 0, isHeld = false),
        )
        cases.forEachIndexed { index, case ->
            val task = start(case.name)
            val suspects = setOf<Suspect>(PartKey(index.toLong()))
            onLoop { repeat(CRASHES) { reportBeside(task, case, suspects, it) } }
            assertEquals(case.isHeld, onLoop { isHeld(task, suspects) }, case.name)
        }
    }

    /** Guards against holding requests that go on at other replicas, as any gateway sees. */
    @Test
    fun suspectsInRequestsThatGoOnElsewhereAreNotHeld() {
        val everyone = setOf(VmId("vm-1"), VmId("vm-2"))
        val first = start("vm-1") { everyone }
        val second = start("vm-2") { everyone }
        val elsewhere = ReplicaIncarnation(ReplicaId("elsewhere"), 1)
        val sentAt = MonotonicTime.now() + -1.minutes
        second.running = { listOf(RunningRequest(elsewhere, PartKey.partsOf(prompt), sentAt)) }
        report(first)
        val until = TimeSource.Monotonic.markNow() + TIMEOUT
        listOf(first, second).forEach { task ->
            val isOutlived = {
                val suspects = PartKey.partsOf(prompt)
                task.crashesInARow(suspects) == CRASHES && !isHeld(task, suspects)
            }
            while (!onLoop { isOutlived() }) {
                assertTrue(until.hasNotPassedNow(), "crashes are known and nothing is held")
                Thread.sleep(POLL.inWholeMilliseconds)
            }
        }
    }

    /** Guards against a rollout of gateways in which neither build learns of the other's crashes. */
    @Test
    fun reportsOfTheBuildBeforeAreUnderstoodAndTheOtherWayRound() {
        val stage = PeerMessage.CrashStage.BEFORE_FIRST_EVENT
        val parts = listOf(7L)
        val none = emptyList<Long>()
        val old = List(CRASHES) {
            val age = 1_000L * (it + 1)
            PeerMessage.SharedCrash("replica-$it", 1, RequestId("$it"), age, stage, parts, none, none, trials = 0)
        }
        val task = start("vm-1")
        onLoop { task.received(VmId("vm-2"), PeerMessage.PromptCrashes(old, isGreeting = false)) }
        assertEquals(true, onLoop { isHeld(task, setOf(PartKey(7))) })
        val now = MonotonicTime.now()
        val suspects = setOf(PartKey(7), RequestKey(8))
        val incarnation = ReplicaIncarnation(ReplicaId("replica-0"), 1)
        val report = CrashReport(incarnation, RequestId("0"), now, now, suspects, isStalled = true)
        val sent = PeerMessage.CrashReports(listOf(CrashReportCodec.encode(report, now)), isGreeting = true)
        val expected = PeerMessage.PromptCrashes(listOf(old.first().copy(ageMilliseconds = 0)), isGreeting = true)
        assertEquals(expected, sent.forVersion(2))
        assertEquals(sent, sent.forVersion(HIGHEST_PROTOCOL_VERSION))
    }

    /** Guards against taking replicas that are lost at one moment for crashes in a row while a build is rolled out. */
    @Test
    fun replicasLostAtOneMomentAreOneCrashInReportsOfTheBuildBefore() {
        val stage = PeerMessage.CrashStage.JUST_BEGUN
        val parts = listOf(7L)
        val none = emptyList<Long>()
        val crashes = { prefix: String, apart: Long ->
            List(CRASHES) {
                val id = "$prefix-$it"
                val age = 10_000L - apart * it
                PeerMessage.SharedCrash(id, 1, RequestId(id), age, stage, parts, none, none, trials = 0)
            }
        }
        val isHeld = { old: List<PeerMessage.SharedCrash> ->
            val task = start("vm-${old.first().replica}")
            onLoop { task.received(VmId("vm-2"), PeerMessage.PromptCrashes(old, isGreeting = false)) }
            onLoop { isHeld(task, setOf(PartKey(7))) }
        }
        assertEquals(false, isHeld(crashes("at-one-moment", 10)))
        assertEquals(true, isHeld(crashes("in-a-row", 300)))
        val oneReplica = crashes("one-replica", 300).map { it.copy(replica = "one-replica") }
        assertEquals(false, isHeld(oneReplica), "one end that gateways found at different times")
    }

    private companion object {
        const val CRASHES = 3
        val TIMEOUT = 5.seconds
        val POLL = 10.milliseconds
    }
}
