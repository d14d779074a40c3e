package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MODEL = SampleFleet.WEIGHTS_NAME

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

    /** A case in which [begin] comes before weights are named. */
    private fun named(name: String, begin: (LoadingFleet, LoadingGateway) -> Unit) = Case(name) { fleet, holder ->
        begin(fleet, holder)
        fleet.assertLoaded(3, fleet.name(3))
    }

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
        const val REPLICAS = 6
        val NAME_INTERVAL = 100.milliseconds
        val SERIES_INTERVAL = 400.milliseconds
        val BUSY_TIME = 4.seconds
        val RESTART_TIME = 200.milliseconds

        /** Longer than gateways take to see a change of the list. */
        val LISTING_TIME = 700.milliseconds

        /** Longer than a gateway takes to learn from reports that a load has ended. */
        val REPORT_TIME = 600.milliseconds
    }
}
