package org.guavapath.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.daemon.peers.PeerHandshake
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerReceiver
import org.guavapath.daemon.peers.PeerTask
import org.guavapath.daemon.settings.ListenAddress
import org.guavapath.platform.wire.SampleFleet
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MODEL = SampleFleet.WEIGHTS_NAME

/** Sends messages to a gateway as another one would. */
private class MessageSender : PeerReceiver, AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val answers = Channel<PeerMessage>(Channel.UNLIMITED)
    private val task = PeerTask(
        ListenAddress("127.0.0.1", 0),
        PeerHandshake(VmId("sender"), Incarnation(1), listOf("a secret of the samples")),
    )

    override suspend fun received(from: VmId, message: PeerMessage) {
        if (message is PeerMessage.TargetAgesTold) answers.send(message)
    }

    override suspend fun linked(peer: VmId) = Unit

    /** Sends [message] to [gateway], and waits until it has been handled. */
    fun send(gateway: LoadingGateway, message: PeerMessage) = runBlocking {
        val to = VmId(gateway.name)
        task.keepLink(scope, gateway.settings.read().peers, this@MessageSender)
        withTimeout(TIMEOUT) {
            while (to !in task.linkedPeers) delay(POLL)
            task.send(to, message)
            task.send(to, PeerMessage.TargetAgesWanted(number = 1))
            answers.receive()
        }
    }

    override fun close() = scope.cancel()

    private companion object {
        val TIMEOUT = 5.seconds
        val POLL = 10.milliseconds
    }
}

/**
 * A disturbance of a fleet, and what is asserted of it. The gateway vm-0 has the lease before.
 *
 * @param others number of other gateways
 */
private class Case(
    val name: String,
    val replicas: Int = 3,
    val others: Int = 1,
    val peerSecret: String? = null,
    val check: (fleet: LoadingFleet, holder: LoadingGateway) -> Unit,
)

/** Replicas that could come to the newest weights come to them in time of calm, whatever was believed of them. */
class StuckReplicasTest {
    /** Runs all [cases] at the same time. */
    private fun assertEach(cases: List<Case>) {
        val threads = Executors.newFixedThreadPool(cases.size)
        val results = cases.map { case -> threads.submit(Callable { runCatching { assert(case) } }) }
        val failures = cases.zip(results).mapNotNull { (case, result) ->
            result.get().exceptionOrNull()?.let { "${case.name}: ${it.message}" }
        }
        threads.shutdown()
        assertTrue(failures.isEmpty(), failures.joinToString("\n"))
    }

    private fun assert(case: Case) = LoadingFleet(case.replicas).use { fleet ->
        case.check(fleet, fleet.startWithHolder(case.others, case.peerSecret))
    }

    /** Restarts [replica] on weights 1, and has [gateway] hear that it has loaded weights 2 before it is ordered to. */
    private fun restartAndTellLoaded(fleet: LoadingFleet, replica: LoadableReplica, gateway: LoadingGateway) {
        replica.isBlocked = true
        replica.restart(mapOf(MODEL to 1))
        fleet.await("the restart is noticed") { replica.reports > 1 }
        MessageSender().use { it.send(gateway, PeerMessage.ReplicaLoaded(replica.name, MODEL, 2)) }
        // An order that was under way as the message arrived has failed by then.
        Thread.sleep(ORDER_TIME.inWholeMilliseconds)
    }

    /** Guards against a replica that is not ordered as it is taken for one that has loaded, before its restart. */
    @Test
    fun aLoadFromBeforeARestartDoesNotKeepAReplicaOutdated() = assertEach(
        listOf(
            Case("a message reaches the holder") { fleet, holder ->
                restartAndTellLoaded(fleet, fleet.replicas.first(), holder)
                fleet.replicas.first().isBlocked = false
                fleet.assertLoaded(2)
            },
            Case("a message reaches the next holder") { fleet, holder ->
                restartAndTellLoaded(fleet, fleet.replicas.first(), fleet.gateways.last())
                holder.kill()
                fleet.replicas.last().restart(mapOf(MODEL to 1))
                fleet.replicas.first().isBlocked = false
                fleet.assertLoaded(2)
            },
            Case("the holder stands still between report and restart", replicas = 1) { fleet, holder ->
                restartWhileReported(fleet, holder)
                fleet.assertLoaded(3)
            },
        ),
    )

    /** Has the only replica load weights 3 and restart on weights 2, while the holder stands still. */
    private fun restartWhileReported(fleet: LoadingFleet, holder: LoadingGateway) {
        val replica = fleet.replicas.single()
        val door = replica.doors.first()
        fleet.name(3)
        fleet.await("the replica has loaded") { replica.weights() == 3 }
        door.isHeld = true
        fleet.await("the replica is asked") { door.pendingRequests > 0 }
        holder.standStill()
        Thread.sleep(REPORT_LAG.inWholeMilliseconds)
        door.isHeld = false
        fleet.await("the report is sent") { door.pendingRequests == 0 }
        replica.restart(mapOf(MODEL to 2))
        Thread.sleep(LISTING_TIME.inWholeMilliseconds)
        holder.goOn()
    }

    /** Guards against belief in weights that each response of the replica contradicts. */
    @Test
    fun responsesWithOlderWeightsCorrectTheBeliefInNewerOnes() = assertEach(
        listOf("the replica rejects requests" to false, "the replica runs them" to true).map { (name, isRun) ->
            Case(name, replicas = 1, others = 0) { fleet, holder ->
                val replica = fleet.replicas.single()
                replica.ignoresExpectedWeights = isRun
                restartAndTellLoaded(fleet, replica, holder)
                replica.isBlocked = false
                whileRequestsAreSent(holder) { fleet.assertLoaded(2) }
            }
        },
    )

    private fun whileRequestsAreSent(gateway: LoadingGateway, block: () -> Unit) {
        val sender = thread(isDaemon = true) {
            var id = FIRST_REQUEST
            while (!Thread.interrupted()) {
                val request = SampleFleet.request((id++).toString(HEXADECIMAL), listOf("own$id"))
                Socket("127.0.0.1", gateway.settings.callers).use { socket ->
                    socket.getOutputStream().write(request.toByteArray())
                    socket.getInputStream().bufferedReader().readText()
                }
                runCatching { Thread.sleep(REQUEST_INTERVAL.inWholeMilliseconds) }.onFailure { return@thread }
            }
        }
        try {
            block()
        } finally {
            sender.interrupt()
        }
    }

    /** Guards against older weights that a late order brings, unnoticed as the list entry is as before. */
    @Test
    fun aLateOrderForOlderWeightsIsFollowedByAnother() = assertEach(
        listOf("the entry changes twice in between" to true, "the entry does not change" to false)
            .map { (name, isWrittenBetween) ->
                Case(name, replicas = 1, others = 0) { fleet, _ ->
                    val replica = fleet.replicas.single()
                    replica.checksFences = false
                    val isFirst = { order: ReceivedOrder -> replica.orders.first { it.version == 3 } === order }
                    replica.fate = { if (it.version == 3 && isFirst(it)) OrderFate.HELD else OrderFate.PROCESSED }
                    fleet.assertLoaded(3, fleet.name(3))
                    fleet.assertLoaded(4, fleet.name(4))
                    replica.isListing = false
                    replica.restart(mapOf(MODEL to 3))
                    fleet.assertLoaded(4)
                    Thread.sleep(REPORT_TIME.inWholeMilliseconds)
                    fleet.unseen {
                        if (isWrittenBetween) replica.writeEntry()
                        replica.releaseHeld()
                        fleet.await("the late order is carried out") { replica.weights() == 3 }
                        replica.writeEntry()
                    }
                    replica.isListing = true
                    fleet.assertLoaded(4)
                }
            },
    )

    /** A case in which [begin] comes before weights are named. */
    private fun named(name: String, others: Int = 1, begin: (LoadingFleet, LoadingGateway) -> Unit) =
        Case(name, others = others) { fleet, holder ->
            begin(fleet, holder)
            fleet.assertLoaded(3, fleet.name(3))
        }

    private fun ordersOfHolder(fate: OrderFate, replicas: List<LoadableReplica>) =
        replicas.forEach { it.fate = { order -> if (order.holder == "vm-0") fate else OrderFate.PROCESSED } }

    /** Guards against a holder whose orders fail and that keeps the lease, although another gateway's would not. */
    @Test
    fun replicasThatTheHolderDoesNotReachAreOrderedByAnotherGateway() = assertEach(
        listOf(
            named("one refuses connections") { fleet, _ -> fleet.replicas.first().doors.first().close() },
            named("all refuse connections") { fleet, _ -> fleet.replicas.forEach { it.doors.first().close() } },
            named("one does not respond") { fleet, _ -> fleet.replicas.first().doors.first().isMute = true },
            named("all respond after 600 ms") { fleet, _ -> delayResponses(fleet, 600.milliseconds) },
            named("orders to one are lost") { fleet, _ -> ordersOfHolder(OrderFate.LOST, fleet.replicas.take(1)) },
            named("orders to all are lost") { fleet, _ -> ordersOfHolder(OrderFate.LOST, fleet.replicas) },
            named("orders to all are refused") { fleet, _ -> ordersOfHolder(OrderFate.REFUSED, fleet.replicas) },
            named("each of two gateways reaches a part") { fleet, _ ->
                fleet.replicas.forEachIndexed { index, replica -> replica.doors[index % 2].close() }
            },
            named("two of three gateways reach none", others = 2) { fleet, _ ->
                fleet.replicas.forEach { replica -> replica.doors.take(2).forEach { it.close() } }
            },
        ),
    )

    private fun delayResponses(fleet: LoadingFleet, latency: Duration, gateways: Int = 1) =
        fleet.replicas.forEach { replica -> replica.doors.take(gateways).forEach { it.latency = latency } }

    /** Guards against a holder that confirms the lease, but each time too late to send an order. */
    @Test
    fun aHolderThatIsTooSlowToOrderGivesWay() = assertEach(
        listOf(
            named("all its calls take 400 ms") { fleet, holder ->
                holder.store.latency = 400.milliseconds
                delayResponses(fleet, 400.milliseconds)
            },
            named("all calls of all gateways take 400 ms") { fleet, _ ->
                fleet.gateways.forEach { it.store.latency = 400.milliseconds }
                delayResponses(fleet, 400.milliseconds, fleet.gateways.size)
            },
            named("the store takes 550 ms, and replicas 200 ms") { fleet, holder ->
                holder.store.latency = 550.milliseconds
                delayResponses(fleet, 200.milliseconds)
            },
        ),
    )

    /** Guards against gateways that take the lease from each other before either may use it. */
    @Test
    fun gatewaysThatDoNotHearOfEachOtherDoNotKeepEachOtherFromOrdering() = assertEach(
        listOf(
            Case("they see the name 350 ms apart", REPLICAS, peerSecret = "another secret of the samples") { fleet, _ ->
                fleet.gateways.last().store.watchDelay = 350.milliseconds
                fleet.replicas.forEach { it.waitTime = 300.milliseconds }
                fleet.assertLoaded(3, fleet.name(3))
            },
        ),
    )

    /** Guards against replicas that are not ordered as none of their service lists its weights. */
    @Test
    fun replicasOfAServiceThatListsNoWeightsAreOrdered() = assertEach(
        listOf(named("after a restart") { fleet, _ -> listWithoutWeights(fleet.replicas) }),
    )

    /** Restarts [replicas], so that their weights are not known from before. */
    private fun listWithoutWeights(replicas: List<LoadableReplica>) = replicas.forEach {
        it.isListedWithoutWeights = true
        it.restart(mapOf(MODEL to 2))
    }

    /** Guards against orders that are given up, or taken for carried out, as a replica does not behave as usual. */
    @Test
    fun ordersAreRepeatedUntilTheyAreCarriedOut() = assertEach(
        listOf(
            named("one lists no weights") { fleet, _ -> listWithoutWeights(fleet.replicas.take(1)) },
            named("the list entry of one is not written any more") { fleet, _ ->
                fleet.replicas.first().isListing = false
            },
            named("one accepts its first two orders and does not carry them out") { fleet, _ ->
                val replica = fleet.replicas.first()
                replica.fate = { order ->
                    val count = replica.orders.count { it.version == order.version }
                    if (count <= 2) OrderFate.DROPPED else OrderFate.PROCESSED
                }
            },
            named("one is busy with another order for 4 s") { fleet, _ ->
                val replica = fleet.replicas.first()
                replica.isBlocked = true
                thread(isDaemon = true) {
                    Thread.sleep(BUSY_TIME.inWholeMilliseconds)
                    replica.isBlocked = false
                }
            },
            named("loads wait for running requests for 1 s") { fleet, _ ->
                fleet.replicas.forEach { it.waitTime = 1.seconds }
            },
            Case("one restarts while it loads") { fleet, _ ->
                val replica = fleet.replicas.first()
                replica.waitTime = REPORT_TIME
                fleet.name(3)
                fleet.await("it is ordered") { replica.orders.any { it.version == 3 } }
                replica.restart(mapOf(MODEL to 2))
                fleet.assertLoaded(3)
            },
            Case("one restarts as it has loaded") { fleet, _ ->
                val replica = fleet.replicas.first()
                fleet.name(3)
                fleet.await("it has loaded") { replica.weights() == 3 }
                replica.restart(mapOf(MODEL to 2))
                fleet.assertLoaded(3)
            },
            Case("weights are named three times in a second") { fleet, _ ->
                (3..5).forEach {
                    fleet.name(it)
                    Thread.sleep(SERIES_INTERVAL.inWholeMilliseconds)
                }
                fleet.assertLoaded(5)
            },
        ),
    )

    /** Guards against a holder that is followed too late, or not at all, when it stops to order. */
    @Test
    fun aHolderThatStopsIsFollowedInTime() = assertEach(
        listOf(
            named("its store takes 800 ms") { _, holder -> holder.store.latency = 800.milliseconds },
            named("it sees no change of the store") { _, holder -> holder.store.watchDelay = 30.seconds },
            named("it stands still for 3 s") { _, holder ->
                holder.standStill()
                thread(isDaemon = true) {
                    Thread.sleep(STANDSTILL.inWholeMilliseconds)
                    holder.goOn()
                }
            },
            named("it stands still") { _, holder -> holder.standStill() },
            named("it has ended") { _, holder -> holder.kill() },
        ),
    )

    /** Guards against orders that stay away as the holder's process is not the one that took the lease. */
    @Test
    fun aHolderThatIsRestartedTwiceOrdersInTime() = assertEach(
        listOf("before" to 800.milliseconds, "around" to 400.milliseconds, "after" to Duration.ZERO)
            .map { (name, namedAfter) ->
                Case("$name the name") { fleet, holder ->
                    val namer = thread(isDaemon = true) {
                        Thread.sleep(namedAfter.inWholeMilliseconds)
                        fleet.name(3)
                    }
                    holder.kill()
                    Thread.sleep(RESTART_TIME.inWholeMilliseconds)
                    val second = fleet.start("vm-0")
                    Thread.sleep(RESTART_TIME.inWholeMilliseconds)
                    second.kill()
                    fleet.start("vm-0")
                    namer.join()
                    fleet.assertLoaded(3)
                }
            },
    )

    /** Guards against orders that forget each other as their models are of different services, or of none. */
    @Test
    fun weightsOfTwoModelsAreLoadedInTime() = assertEach(
        listOf(
            Case("one service") { fleet, _ ->
                fleet.replicas.forEach { it.restart(mapOf(MODEL to 2, OTHER to 1)) }
                nameBoth(fleet)
            },
            Case("two services") { fleet, _ ->
                repeat(REPLICAS) { fleet.add("other-$it", mapOf(OTHER to 1), service = "others") }
                nameBoth(fleet)
            },
            Case("a model that no service has") { fleet, _ -> nameBoth(fleet) },
        ),
    )

    private fun nameBoth(fleet: LoadingFleet) {
        Thread.sleep(LISTING_TIME.inWholeMilliseconds)
        fleet.name(3, OTHER)
        Thread.sleep(NAME_INTERVAL.inWholeMilliseconds)
        val namedAt = fleet.name(3)
        listOf(MODEL, OTHER).forEach { model ->
            fleet.assertLoaded(3, namedAt, model, fleet.replicas.filter { it.weights(model) != null })
        }
    }

    private companion object {
        const val OTHER = "other"
        const val HEXADECIMAL = 16
        const val FIRST_REQUEST = 16
        const val REPLICAS = 6
        val REQUEST_INTERVAL = 50.milliseconds
        val NAME_INTERVAL = 100.milliseconds
        val SERIES_INTERVAL = 400.milliseconds
        val BUSY_TIME = 4.seconds
        val STANDSTILL = 3.seconds
        val RESTART_TIME = 200.milliseconds

        /** Longer than gateways take to see a change of the list. */
        val LISTING_TIME = 700.milliseconds

        /** Longer than a gateway waits for a report and the response to an order. */
        val ORDER_TIME = 800.milliseconds

        /** Longer than the reports of replicas lag behind. */
        val REPORT_LAG = 200.milliseconds

        /** Longer than a gateway takes to learn from reports that a load has ended. */
        val REPORT_TIME = 600.milliseconds
    }
}
