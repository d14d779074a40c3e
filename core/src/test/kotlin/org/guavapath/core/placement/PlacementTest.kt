package org.guavapath.core.placement

import org.guavapath.core.fleet.CacheScope
import org.guavapath.core.fleet.CacheStore
import org.guavapath.core.fleet.PromptPart
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.TargetWeights
import org.guavapath.core.weights.setTarget
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlacementTest {
    private val model = ModelName("model")
    private val service = ServiceName("models")
    private val here = FailureDomainName("here")
    private val there = FailureDomainName("there")
    private val store = CacheStore("10.0.0.9:1", there)
    private val now = MonotonicTime.ZERO + 100.seconds

    private fun replica(
        name: String,
        domain: FailureDomainName = here,
        weights: Long = 1,
        isDraining: Boolean = false,
    ) =
        Replica(
            ReplicaId(name),
            startedAt = 0,
            service,
            "10.0.0.${name.last()}:80",
            domain,
            slots = 32,
            isDraining,
            warmUpLeft = Duration.ZERO,
            mapOf(model to WeightsNumber(weights)),
        )

    private fun prompt(shared: String, unique: String, sharedTokens: Int = 5_000) = PromptShape(
        model,
        promptTokens = sharedTokens + 2_000L,
        maxOutputTokens = 50,
        listOf(PromptPart(shared, sharedTokens), PromptPart(unique, tokens = 2_000)),
    )

    private fun owned(workspace: String) = CacheScope.Owned(WorkspaceName(workspace))

    private fun shared(vararg isolated: String) = CacheScope.Shared(isolated.map { WorkspaceName(it) }.toSet())

    private fun request(prompt: PromptShape?, excluded: Set<ReplicaId> = emptySet(), owner: String? = null) =
        PlacementRequest(service, prompt, owner?.let { owned(it) } ?: shared(), excluded, store)

    /** Placement on one VM, with its own state of the fleet. */
    private inner class TestVm(entries: List<Replica>, domain: FailureDomainName = here) {
        val replicas = ReplicaRegistry().also { it.update(entries) }
        val directory = PromptDirectory()
        val weights = TargetWeights()
        private val placement = Placement(domain, replicas, directory, weights)

        fun choose(request: PlacementRequest, at: MonotonicTime = now): ScoredReplica =
            assertIs<PlacementResult.Chosen>(placement.choose(request, at)).chosen

        fun result(request: PlacementRequest): PlacementResult = placement.choose(request, now)

        fun refuses(request: PlacementRequest): Boolean = placement.choose(request, now) is PlacementResult.NoReplica
    }

    /** Guards against choosing replicas that have said that they leave or that they take nothing for a time. */
    @Test
    fun replicasThatLeaveOrPauseAreNotChosen() {
        val entries = listOf(replica("r1"), replica("r2"))
        val first = entries.first().incarnation
        val last = entries.last().incarnation
        val restarted = listOf(entries.first().copy(startedAt = 9), entries.last())
        val cases = listOf<Triple<String, ReplicaRegistry.() -> Unit, Set<String>>>(
            Triple("nothing", { }, setOf("r1", "r2")),
            Triple("one leaves", { leaving.record(first, now) }, setOf("r2")),
            Triple(
                "its entry is written again",
                {
                    leaving.record(first, now)
                    update(entries)
                },
                setOf("r2"),
            ),
            Triple(
                "it is missing for a while and listed again",
                {
                    leaving.record(first, now)
                    update(entries.drop(1))
                    update(entries)
                },
                setOf("r2"),
            ),
            Triple(
                "another VM tells before it is listed",
                {
                    update(entries.drop(1))
                    leaving.record(first, now)
                    update(entries)
                },
                setOf("r2"),
            ),
            Triple(
                "it has started again",
                {
                    leaving.record(first, now)
                    pauses.record(first, 3.seconds, now)
                    update(restarted)
                },
                setOf("r1", "r2"),
            ),
            Triple("one pauses", { pauses.record(first, 3.seconds, now) }, setOf("r2")),
            Triple("one pause is over", { pauses.record(first, 3.seconds, MonotonicTime.ZERO) }, setOf("r1", "r2")),
            Triple("all pause", { listOf(first, last).forEach { pauses.record(it, 3.seconds, now) } }, emptySet()),
            Triple("all leave", { listOf(first, last).forEach { leaving.record(it, now) } }, emptySet()),
        )
        cases.forEach { (name, change, expected) ->
            val vm = TestVm(entries).apply { replicas.change() }
            val chosen = listOf(emptySet(), setOf("r1"), setOf("r2")).mapNotNull { excluded ->
                val asked = request(null, excluded.map { ReplicaId(it) }.toSet())
                (vm.result(asked) as? PlacementResult.Chosen)?.chosen?.record?.entry?.id?.text
            }
            assertEquals(expected, chosen.toSet(), name)
        }
    }

    /** Guards against refusals that say a later time than that at which a replica takes requests again. */
    @Test
    fun allPausedReplicasAreClosedUntilTheFirstTakesRequests() {
        val entries = listOf(replica("r1"), replica("r2"))
        val vm = TestVm(entries)
        val pauses = listOf(5.seconds, 2.seconds)
        entries.zip(pauses).forEach { (entry, pause) -> vm.replicas.pauses.record(entry.incarnation, pause, now) }
        assertEquals(PlacementResult.AllClosed, vm.result(request(null)))
        assertEquals(now + 2.seconds, vm.replicas.firstPauseEnd(service, now))
        assertEquals(null, vm.replicas.firstPauseEnd(service, now + 2.seconds))
        assertEquals(now + 5.seconds, vm.replicas.firstPauseEnd(service, now, setOf(ReplicaId("r2"))), "one was tried")
        vm.replicas.leaving.record(entries.last().incarnation, now)
        assertEquals(now + 5.seconds, vm.replicas.firstPauseEnd(service, now), "one of them leaves")
    }

    private val four = listOf(replica("r1"), replica("r2"), replica("r3"), replica("r4"))

    @Test
    fun unusableReplicasAreNotChosen() {
        val outdated = TestVm(listOf(replica("r1", weights = 1), replica("r2", weights = 2)))
        outdated.weights.setTarget(model, WeightsNumber(1), MonotonicTime.ZERO)
        outdated.weights.setTarget(model, WeightsNumber(2), now + (-5.5).seconds)
        val loading = TestVm(four)
        (1..3).forEach { checkNotNull(loading.replicas[ReplicaId("r$it")]).loadingUntil = now + 1.seconds }
        val silent = TestVm(four)
        (2..4).forEach {
            checkNotNull(silent.replicas[ReplicaId("r$it")]).health.observe(ReplicaOutcome.UNRESPONSIVE, now)
        }
        val cases = listOf(
            Triple("one has weights replaced 5.5 s ago", outdated, "r2"),
            Triple("three of four load weights", loading, "r4"),
            Triple("three of four are silent", silent, "r1"),
            Triple("one is draining", TestVm(listOf(replica("r1", isDraining = true), replica("r2"))), "r2"),
        )
        cases.forEach { (name, vm, expected) ->
            assertEquals(expected, vm.choose(request(prompt("a", "b"))).record.entry.id.text, name)
        }
        assertTrue(TestVm(listOf(replica("r1", isDraining = true))).refuses(request(prompt("a", "b"))))
        assertTrue(TestVm(four).refuses(request(prompt("a", "b"), excluded = four.map { it.id }.toSet())))
    }

    /** Guards against requests that run on old weights because nobody knows which ones their replica has. */
    @Test
    fun requestsToReplicasOfUnknownWeightsExpectTheNewest() {
        val cases = listOf(
            Triple("unknown", emptyMap(), 3L),
            Triple("listed", mapOf(model to WeightsNumber(2)), 2L),
        )
        cases.forEach { (name, weights, expected) ->
            val vm = TestVm(listOf(replica("r1").copy(weights = weights)))
            vm.weights.setTarget(model, WeightsNumber(2), MonotonicTime.ZERO)
            vm.weights.setTarget(model, WeightsNumber(3), now)
            assertEquals(WeightsNumber(expected), vm.choose(request(prompt("a", "b"))).weights, name)
            val record = checkNotNull(vm.replicas[ReplicaId("r1")])
            record.assumeWeights(model, WeightsNumber(3), now + 1.seconds)
            assertEquals(WeightsNumber(3), vm.choose(request(prompt("a", "b"))).weights, "$name, assumed")
            assertEquals(weights[model], record.weights(model), "$name: an assumption is not known")
            val later = vm.choose(request(prompt("a", "b")), now + 1.seconds)
            assertEquals(WeightsNumber(expected), later.weights, "$name, assumed before")
        }
    }

    /** Guards against requests that are sent in time to replaced weights and begin too late behind those that wait. */
    @Test
    fun requestsThatWouldBeginTooLateOnReplacedWeightsGoElsewhere() {
        val cases = listOf(
            Triple("no queue", 0L, "r1"),
            Triple("a queue that ends in time", 80_000L, "r1"),
            Triple("a queue that ends too late", 160_000L, "r2"),
        )
        cases.forEach { (name, queuedTokens, expected) ->
            val vm = TestVm(listOf(replica("r1", weights = 1), replica("r2", there, weights = 2)))
            vm.weights.setTarget(model, WeightsNumber(1), MonotonicTime.ZERO)
            vm.weights.setTarget(model, WeightsNumber(2), now + (-4).seconds)
            checkNotNull(vm.replicas[ReplicaId("r1")]).requestSent(queuedTokens)
            checkNotNull(vm.replicas[ReplicaId("r2")]).requestSent(queuedTokens + 50_000)
            val chosen = vm.choose(request(prompt("a", "b")))
            assertEquals(expected, chosen.record.entry.id.text, name)
            assertEquals(if (expected == "r1") 1600.milliseconds else null, chosen.beginBy?.let { it - now }, name)
        }
    }

    @Test
    fun allVmsChooseTheSameReplicaForAnUncachedSharedPart() {
        val chosen = listOf(TestVm(four), TestVm(four, there), TestVm(four.reversed()))
            .map { it.choose(request(prompt("a", "own"))).record.entry.id }
        assertEquals(1, chosen.toSet().size, chosen.toString())
    }

    /** Load pattern: a hot prefix with a third of the traffic. It is prefilled once and fetched by the others. */
    @Test
    fun aHotPrefixSpreadsByFetchingInsteadOfRepeatedPrefill() {
        val vm = TestVm(four)
        val used = HashSet<ReplicaId>()
        var prefills = 0
        repeat(40) { step ->
            val chosen = vm.choose(request(prompt("hot", "own-$step")))
            val path = checkNotNull(chosen.path)
            val isCovered = maxOf(chosen.heldTokens, chosen.source?.tokens ?: 0) >= path.sharedTokens
            if (!isCovered) prefills += 1
            vm.directory.record(path, chosen.record.entry.id, now)
            chosen.record.requestSent(chosen.uncachedTokens(prompt("hot", "own-$step")))
            used.add(chosen.record.entry.id)
        }
        assertEquals(1, prefills)
        assertEquals(4, used.size)
    }

    @Test
    fun cachedPartsAreFetchedFromTheMostReliableSource() {
        val shape = prompt("a", "own")
        fun path() = PromptPath.of(shared().salt(model, WeightsNumber(1)), shape.parts)
        val cases = listOf(
            Triple("a replica used it recently", 1 to null, "10.0.0.2:80"),
            Triple("a replica used it long ago, the store has it", 6 to 6, "10.0.0.9:1"),
            Triple("a replica used it long ago, nothing is stored", 6 to null, "10.0.0.2:80"),
        )
        cases.forEach { (name, ages, expected) ->
            val vm = TestVm(listOf(replica("r1"), replica("r2")))
            vm.directory.record(path(), ReplicaId("r2"), now + (-ages.first).seconds)
            ages.second?.let { vm.directory.recordStored(path(), now + (-it).seconds) }
            checkNotNull(vm.replicas[ReplicaId("r2")]).requestSent(promptTokens = 100_000)
            val chosen = vm.choose(request(shape))
            assertEquals("r1", chosen.record.entry.id.text, name)
            assertEquals(expected, chosen.source?.address, name)
        }
    }

    @Test
    fun cachedPartsAreNotSharedAcrossWeightsOrIsolatedWorkspaces() {
        val shape = prompt("a", "own")
        val salts = listOf(
            shared().salt(model, WeightsNumber(1)),
            shared().salt(model, WeightsNumber(2)),
            owned("isolated").salt(model, WeightsNumber(1)),
            owned("other").salt(model, WeightsNumber(1)),
            shared("isolated").salt(model, WeightsNumber(1)),
            shared("isolated").salt(model, WeightsNumber(2)),
            shared("other").salt(model, WeightsNumber(1)),
            shared("isolated", "other").salt(model, WeightsNumber(1)),
            shared("isolatedother").salt(model, WeightsNumber(1)),
        )
        assertEquals(salts.size, salts.map { it.text }.toSet().size)
        assertEquals(shared("isolated", "other"), shared("other", "isolated"))
        assertEquals(salts[7], shared("other", "isolated").salt(model, WeightsNumber(1)))
        val vm = TestVm(four)
        val first = vm.choose(request(shape))
        vm.directory.record(checkNotNull(first.path), first.record.entry.id, now)
        val isolated = vm.choose(request(shape, owner = "isolated"))
        assertEquals(0, isolated.heldTokens)
        assertNotEquals(first.path.salt, isolated.path?.salt)
    }

    /** Load pattern: requests of another VM are queued at one replica. */
    @Test
    fun loadOfOtherVmsCountsUntilItsReportExpires() {
        val vm = TestVm(listOf(replica("r1"), replica("r2")))
        val shape = prompt("a", "own", sharedTokens = 100)
        val preferred = vm.choose(request(shape)).record
        preferred.receiveReport(VmId("other"), ReplicaLoad(promptTokens = 40_000, requests = 8), now)
        assertNotEquals(preferred.entry.id, vm.choose(request(shape)).record.entry.id)
        assertEquals(preferred.entry.id, vm.choose(request(shape), now + 2.seconds).record.entry.id)
    }

    @Test
    fun updateReturnsRestartedAndRemovedReplicas() {
        val replicas = ReplicaRegistry()
        assertEquals(emptySet(), replicas.update(four))
        val restarted = four.map { if (it.id.text == "r2") it.copy(startedAt = 5) else it }
        assertEquals(setOf(ReplicaId("r2")), replicas.update(restarted))
        assertEquals(setOf(ReplicaId("r1")), replicas.update(restarted.drop(1)))
    }
}
