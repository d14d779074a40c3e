package org.guavapath.core.placement

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
import org.guavapath.core.weights.NamedWeights
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
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
            bornAt = 0,
            service,
            "10.0.0.${name.last()}:80",
            domain,
            slots = 32,
            isDraining,
            warmUpLeft = Duration.ZERO,
            mapOf(model to WeightsNumber(weights)),
        )

    private fun prompt(shared: String, own: String, sharedTokens: Int = 5_000) = PromptShape(
        model,
        promptTokens = sharedTokens + 2_000L,
        largestOutput = 50,
        listOf(PromptPart(shared, sharedTokens), PromptPart(own, tokens = 2_000)),
    )

    private fun request(prompt: PromptShape?, excluded: Set<ReplicaId> = emptySet(), owner: String? = null) =
        PlacementRequest(service, prompt, owner?.let { WorkspaceName(it) }, excluded, store)

    /** One VM's view of a fleet. */
    private inner class View(entries: List<Replica>, domain: FailureDomainName = here) {
        val book = ReplicaBook().also { it.update(entries) }
        val directory = PromptDirectory()
        val weights = NamedWeights()
        private val placement = Placement(domain, book, directory, weights)

        fun choose(request: PlacementRequest, at: MonotonicTime = now): ScoredReplica =
            assertIs<PlacementResult.Chosen>(placement.choose(request, at)).chosen

        fun refuses(request: PlacementRequest): Boolean = placement.choose(request, now) is PlacementResult.NoReplica
    }

    private val four = listOf(replica("r1"), replica("r2"), replica("r3"), replica("r4"))

    @Test
    fun replicasThatMustNotBeUsedAreNotChosen() {
        val outdated = View(listOf(replica("r1", weights = 1), replica("r2", weights = 2)))
        outdated.weights.name(model, WeightsNumber(1), MonotonicTime.ZERO)
        outdated.weights.name(model, WeightsNumber(2), now + (-5.5).seconds)
        val loading = View(four)
        (1..3).forEach { checkNotNull(loading.book[ReplicaId("r$it")]).loadingUntil = now + 1.seconds }
        val silent = View(four)
        (2..4).forEach { checkNotNull(silent.book[ReplicaId("r$it")]).health.observe(ReplicaOutcome.SILENT, now) }
        val cases = listOf(
            Triple("weights replaced 5.5 s ago", outdated, "r2"),
            Triple("three of four load weights", loading, "r4"),
            Triple("three of four are silent", silent, "r1"),
            Triple("one leaves", View(listOf(replica("r1", isDraining = true), replica("r2"))), "r2"),
        )
        cases.forEach { (name, view, expected) ->
            assertEquals(expected, view.choose(request(prompt("a", "b"))).record.entry.id.text, name)
        }
        assertTrue(View(listOf(replica("r1", isDraining = true))).refuses(request(prompt("a", "b"))))
        assertTrue(View(four).refuses(request(prompt("a", "b"), excluded = four.map { it.id }.toSet())))
    }

    @Test
    fun allGatewaysReadASharedPartAtOneReplica() {
        val chosen = listOf(View(four), View(four, there), View(four.reversed()))
            .map { it.choose(request(prompt("a", "own"))).record.entry.id }
        assertEquals(1, chosen.toSet().size, chosen.toString())
    }

    /** Load pattern: one prefix with a third of the traffic. It is read once and fetched by the other replicas. */
    @Test
    fun aHotPrefixSpreadsByFetchingInsteadOfReadingAgain() {
        val view = View(four)
        val used = HashSet<ReplicaId>()
        var readAgain = 0
        repeat(40) { step ->
            val chosen = view.choose(request(prompt("hot", "own-$step")))
            val path = checkNotNull(chosen.path)
            val isCovered = maxOf(chosen.heldTokens, chosen.source?.tokens ?: 0) >= path.sharedTokens
            if (!isCovered) readAgain += 1
            view.directory.record(path, chosen.record.entry.id, now)
            chosen.record.began(chosen.missingTokens(prompt("hot", "own-$step")))
            used.add(chosen.record.entry.id)
        }
        assertEquals(1, readAgain)
        assertEquals(4, used.size)
    }

    @Test
    fun cachedPartsComeFromWhereTheySurelyAre() {
        val shape = prompt("a", "own")
        fun path() = PromptPath.of(cacheSalt(owner = null, model, WeightsNumber(1)), shape.parts)
        val cases = listOf(
            Triple("a replica used it just now", 1 to null, "10.0.0.2:80"),
            Triple("a replica used it long ago, the store has it", 6 to 6, "10.0.0.9:1"),
            Triple("a replica used it long ago, nothing is stored", 6 to null, "10.0.0.2:80"),
        )
        cases.forEach { (name, ages, expected) ->
            val view = View(listOf(replica("r1"), replica("r2")))
            view.directory.record(path(), ReplicaId("r2"), now + (-ages.first).seconds)
            ages.second?.let { view.directory.recordStored(path(), now + (-it).seconds) }
            checkNotNull(view.book[ReplicaId("r2")]).began(promptTokens = 100_000)
            val chosen = view.choose(request(shape))
            assertEquals("r1", chosen.record.entry.id.text, name)
            assertEquals(expected, chosen.source?.address, name)
        }
    }

    @Test
    fun nothingIsSharedAcrossWeightsOrIsolatedWorkspaces() {
        val shape = prompt("a", "own")
        val salts = listOf(
            cacheSalt(owner = null, model, WeightsNumber(1)),
            cacheSalt(owner = null, model, WeightsNumber(2)),
            cacheSalt(WorkspaceName("isolated"), model, WeightsNumber(1)),
            cacheSalt(WorkspaceName("other"), model, WeightsNumber(1)),
        )
        assertEquals(salts.size, salts.map { it.text }.toSet().size)
        val view = View(four)
        val first = view.choose(request(shape))
        view.directory.record(checkNotNull(first.path), first.record.entry.id, now)
        val isolated = view.choose(request(shape, owner = "isolated"))
        assertEquals(0, isolated.heldTokens)
        assertNotEquals(first.path.salt, isolated.path?.salt)
    }

    /** Load pattern: other gateways' requests wait at one replica. */
    @Test
    fun workOfOtherGatewaysCounts() {
        val view = View(listOf(replica("r1"), replica("r2")))
        val shape = prompt("a", "own", sharedTokens = 100)
        val preferred = view.choose(request(shape)).record
        preferred.report(VmId("other"), ReplicaLoad(promptTokens = 40_000, requests = 8), now)
        assertNotEquals(preferred.entry.id, view.choose(request(shape)).record.entry.id)
        assertEquals(preferred.entry.id, view.choose(request(shape), now + 2.seconds).record.entry.id)
    }

    @Test
    fun aReplicaThatStartsAnewIsForgotten() {
        val book = ReplicaBook()
        assertEquals(emptySet(), book.update(four))
        val reborn = four.map { if (it.id.text == "r2") it.copy(bornAt = 5) else it }
        assertEquals(setOf(ReplicaId("r2")), book.update(reborn))
        assertEquals(setOf(ReplicaId("r1")), book.update(reborn.drop(1)))
    }
}
