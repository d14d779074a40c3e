package org.guavapath.core.placement

import org.guavapath.core.fleet.CacheStore
import org.guavapath.core.fleet.CallerLimits
import org.guavapath.core.fleet.FleetConfiguration
import org.guavapath.core.fleet.FleetVersion
import org.guavapath.core.fleet.PromptPart
import org.guavapath.core.fleet.PromptShape
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.quota.SAMPLE_LIMIT
import org.guavapath.core.routing.CacheSalt
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.TargetWeights
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val model = ModelName("model")
private val service = ServiceName("models")
private val domain = FailureDomainName("domain")
private val store = CacheStore("10.0.1.1:1", domain)
private val names = List(4) { WorkspaceName("workspace-$it") }
private val replicas = List(3) {
    Replica(
        ReplicaId("replica-$it"),
        startedAt = 0,
        service,
        "10.0.0.$it:1",
        domain,
        slots = 32,
        isDraining = false,
        warmUpLeft = Duration.ZERO,
        mapOf(model to WeightsNumber(1)),
    )
}

/** Returns a version of the configuration in which [workspaces] are listed, each with whether it is isolated. */
private fun configuration(version: Long, workspaces: Map<WorkspaceName, Boolean>) = FleetConfiguration(
    FleetVersion(version),
    routes = emptyList(),
    services = emptyMap(),
    workspaces.map { (name, isIsolated) -> SAMPLE_LIMIT.copy(name = name, isIsolated = isIsolated) },
    CallerLimits(headerBytes = 1, bodyBytes = 1, headerTimeout = 1.seconds, idleTimeout = 1.seconds),
)

private val FleetConfiguration.isolated: Set<WorkspaceName>
    get() = workspaces.orEmpty().filter { it.isIsolated }.map { it.name }.toSet()

/** A request of [workspace], sent by a gateway that goes by [configuration]. */
private class Sender(val workspace: WorkspaceName, val configuration: FleetConfiguration) {
    /** Whether one of the two workspaces was isolated when the part was made, or is when it is used. */
    fun isWalledFrom(maker: Sender): Boolean = workspace != maker.workspace &&
        listOf(this, maker).map { it.configuration.isolated }.any { workspace in it || maker.workspace in it }

    override fun toString() = "$workspace at ${configuration.version} (isolated: ${configuration.isolated})"
}

/** A cached part: its salt, its id and those of all parts before it. */
private typealias CachedPart = Pair<CacheSalt, List<String>>

private class SimulatedVm(var configuration: FleetConfiguration) {
    val directory = PromptDirectory()
    private val registry = ReplicaRegistry().also { it.update(replicas) }
    private val placement = Placement(domain, registry, directory, TargetWeights())

    fun choose(shape: PromptShape, workspace: WorkspaceName, excluded: Set<ReplicaId>, now: MonotonicTime) =
        assertIs<PlacementResult.Chosen>(
            placement.choose(
                PlacementRequest(service, shape, configuration.cacheScope(workspace), excluded, store),
                now,
            ),
        ).chosen
}

/** Gateways that go by versions at different times, skip some, and restart with the newest or an older one. */
private class SimulatedIsolation(private val random: Random, count: Int) {
    private val versions = arrayListOf(configuration(version = 0, names.associateWith { false }))
    private val vms = MutableList(count) { SimulatedVm(versions.first()) }
    private val lags = List(count) { random.nextDouble(MAX_EAGERNESS) }
    private val caches = HashMap<String, HashMap<CachedPart, Sender>>()
    private var now = MonotonicTime.ZERO + 100.seconds
    private var sent = 0

    /** Uses of a part by a request that is walled off from the one that made it. */
    val violations = ArrayList<String>()

    /** Number of uses of parts that another workspace made. */
    var sharedUses = 0
        private set

    /** Number of uses of parts that were made under another version. */
    var usesAcrossVersions = 0
        private set

    fun play(steps: Int) = repeat(steps) {
        now += 50.milliseconds
        if (random.nextInt(STEPS_PER_VERSION) == 0) versions += nextVersion()
        vms.indices.forEach { if (random.nextDouble() < lags[it]) applyNewer(vms[it]) }
        if (random.nextInt(STEPS_PER_RESTART) == 0) restartOne()
        send(vms.random(random), names.random(random))
    }

    /** Lets all gateways go by the newest version, one right after its start; returns each workspace's salts. */
    fun settle(): Map<WorkspaceName, Set<CacheSalt>> {
        vms.forEach { it.configuration = versions.last() }
        vms[0] = SimulatedVm(versions.last())
        return names.associateWith { name ->
            vms.map { it.configuration.cacheScope(name).salt(model, WeightsNumber(1)) }.toSet()
        }
    }

    /** The workspaces that share parts under the newest version. */
    val sharing: Set<WorkspaceName>
        get() = versions.last().workspaces.orEmpty().filter { !it.isIsolated }.map { it.name }.toSet()

    private fun nextVersion(): FleetConfiguration {
        val listed = versions.last().workspaces.orEmpty().associate { it.name to it.isIsolated }
        val name = names.random(random)
        val next = when (random.nextInt(CHANGES)) {
            0 -> listed
            1 -> if (name in listed) listed - name else listed + (name to random.nextBoolean())
            else -> listed.mapValues { (key, value) -> if (key == name) !value else value }
        }
        return configuration(versions.size.toLong(), next)
    }

    private fun applyNewer(vm: SimulatedVm) {
        val current = vm.configuration.version.number.toInt()
        if (current < versions.lastIndex) vm.configuration = versions[random.nextInt(current + 1, versions.size)]
    }

    private fun restartOne() {
        val copied = vms.random(random).configuration
        vms[random.nextInt(vms.size)] = SimulatedVm(if (random.nextBoolean()) versions.last() else copied)
    }

    private fun send(vm: SimulatedVm, workspace: WorkspaceName) {
        val shared = listOf(PromptPart("a${random.nextInt(2)}", 800), PromptPart("b${random.nextInt(2)}", 400))
        val parts = shared + PromptPart("own-${sent++}", 250)
        val shape = PromptShape(model, parts.sumOf { it.tokens }.toLong(), maxOutputTokens = 50, parts)
        val excluded = if (random.nextBoolean()) emptySet() else setOf(replicas.random(random).id)
        val chosen = vm.choose(shape, workspace, excluded, now)
        run(Sender(workspace, vm.configuration), chosen, parts)
        tell(vm, chosen)
    }

    private fun run(sender: Sender, chosen: ScoredReplica, parts: List<PromptPart>) {
        val salt = checkNotNull(chosen.path).salt
        val cached: List<CachedPart> = parts.indices.map { last -> salt to parts.take(last + 1).map { it.id } }
        val own = caches.getOrPut(chosen.record.entry.address) { HashMap() }
        val source = chosen.source?.let { caches[it.address] }.orEmpty()
        val held = cached.takeWhile { it in own }
        assertTrue(chosen.heldTokens <= parts.take(held.size).sumOf { it.tokens }, "$sender is sent to parts not held")
        val makers = cached.map { own[it] ?: source[it] }.takeWhile { it != null }.filterNotNull()
        makers.forEach { check(sender, it) }
        cached.forEachIndexed { index, part -> own.putIfAbsent(part, makers.getOrNull(index) ?: sender) }
        if (random.nextInt(REQUESTS_PER_SAVE) == 0) {
            val saved = caches.getOrPut(store.address) { HashMap() }
            cached.forEach { saved.putIfAbsent(it, own.getValue(it)) }
            vms.forEach { it.directory.recordStored(chosen.path, now) }
        }
    }

    private fun check(user: Sender, maker: Sender) {
        if (user.isWalledFrom(maker)) violations += "$user uses a part of $maker"
        if (user.workspace != maker.workspace) sharedUses += 1
        if (user.configuration.version != maker.configuration.version) usesAcrossVersions += 1
    }

    private fun tell(vm: SimulatedVm, chosen: ScoredReplica) {
        vm.directory.record(checkNotNull(chosen.path), chosen.record.entry.id, now)
        vm.directory.takeUnpublished().forEach { (prefix, replica) ->
            vms.filter { it != vm && random.nextInt(NEWS_PER_LOSS) > 0 }
                .forEach { it.directory.record(prefix, replica, now) }
        }
    }

    private companion object {
        const val MAX_EAGERNESS = 0.3
        const val STEPS_PER_VERSION = 25
        const val STEPS_PER_RESTART = 40
        const val CHANGES = 5
        const val REQUESTS_PER_SAVE = 5
        const val NEWS_PER_LOSS = 10
    }
}

class IsolationSimulationTest {
    private class Case(val gateways: Int, val seeds: IntRange, val steps: Int)

    private val cases = listOf(
        Case(gateways = 1, seeds = 1..100, steps = 600),
        Case(gateways = 2, seeds = 1..100, steps = 600),
        Case(gateways = 5, seeds = 1..100, steps = 600),
        Case(gateways = 16, seeds = 1..40, steps = 600),
        Case(gateways = 340, seeds = 1..3, steps = 300),
    )

    /** Guards against cached parts that stay shared with a workspace after a gateway has isolated it. */
    @Test
    fun noPartIsUsedAcrossAWallWhenGatewaysApplyVersionsAtDifferentTimes() = cases.forEach { case ->
        case.seeds.forEach { seed ->
            val name = "${case.gateways} gateways, seed $seed"
            val fleet = SimulatedIsolation(Random(seed), case.gateways).also { it.play(case.steps) }
            assertEquals(emptyList(), fleet.violations.take(3), name)
            assertTrue(fleet.sharedUses > 0 && fleet.usesAcrossVersions > 0, "$name: parts are still shared")
        }
    }

    /** Guards against gateways, just started ones too, that share no parts although they go by the same version. */
    @Test
    fun gatewaysWithTheSameVersionShareParts() = cases.forEach { case ->
        case.seeds.forEach { seed ->
            val fleet = SimulatedIsolation(Random(seed), case.gateways).also { it.play(case.steps / 10) }
            val salts = fleet.settle()
            val shared = fleet.sharing.flatMap { salts.getValue(it) }.toSet()
            val owned = (names - fleet.sharing).map { salts.getValue(it).single() }
            val name = "${case.gateways} gateways, seed $seed"
            assertEquals(if (fleet.sharing.isEmpty()) 0 else 1, shared.size, name)
            assertEquals(names.size - fleet.sharing.size, (owned - shared).toSet().size, name)
        }
    }
}
