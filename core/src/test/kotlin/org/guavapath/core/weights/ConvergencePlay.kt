package org.guavapath.core.weights

import org.guavapath.core.time.MonotonicTime
import java.util.Optional
import kotlin.jvm.optionals.getOrNull
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Plays situations with the decisions of the daemon and asserts that all replicas come to the newest weights. */
internal object ConvergencePlay {
    /** Time within which replicas must have the newest weights, in calm. */
    private val BOUND: Duration = 6.seconds

    /** Late orders arrive within twelve seconds. */
    private val LONGEST: Duration = 24.seconds
    private val FLEET_EVENTS = listOf("the lease", "named", "calm", "killed", "frozen", "later")
    private const val MAX_SHOWN = 20
    private const val MAX_EVENTS = 40

    /** Plays [situations] with random troubles. */
    fun check(situations: List<FleetSituation>) = check(situations) { fleet, situation ->
        FleetTroubles(situation, fleet).schedule()
    }

    /** Plays [situations] with the troubles of [script]. */
    fun check(situations: List<FleetSituation>, script: (FleetSimulation, FleetSituation) -> Unit) {
        val failures = situations.parallelStream().map { Optional.ofNullable(failure(it, script)) }.toList()
            .mapNotNull { it.getOrNull() }
        val heads = failures.joinToString("\n") { it.substringBefore('\n') }
        assertEquals(0, failures.size, heads + "\n\n" + failures.take(MAX_SHOWN).joinToString("\n\n"))
    }

    private fun play(
        situation: FleetSituation,
        script: (FleetSimulation, FleetSituation) -> Unit,
        onEvent: (MonotonicTime, String) -> Unit = { _, _ -> },
    ): List<OutdatedReplica> {
        val fleet = FleetSimulation(situation, ::DaemonDecisions, onEvent)
        fleet.start()
        script(fleet, situation)
        return fleet.run(situation.calmTime + LONGEST, BOUND)
    }

    /** Returns what failed in [situation], with a trace; null if nothing did. */
    private fun failure(situation: FleetSituation, script: (FleetSimulation, FleetSituation) -> Unit): String? {
        if (play(situation, script).isEmpty()) return null
        val events = ArrayList<Pair<MonotonicTime, String>>()
        val outdated = play(situation, script) { at, text -> events.add(at to text) }
        val shown = events.filter { (_, text) -> isOf(text, outdated.map { it.replica.text }) }.takeLast(MAX_EVENTS)
            .map { (at, text) -> "  ${at.microseconds / 1_000} ms $text" }
        val states = outdated.take(MAX_SHOWN).map { "$it" }
        return (listOf("$situation: ${outdated.size} outdated") + states + shown).joinToString("\n")
    }

    private fun isOf(text: String, replicas: List<String>) =
        replicas.any { "$it " in text } || FLEET_EVENTS.any { it in text }
}
