package org.guavapath.core.versions

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class VersionRolloutSimulationTest {
    private fun duration(random: Random) = random.nextInt(12, 40).seconds

    private fun gateways(random: Random) = listOf(1, 2, 3, 12, 30, 70).random(random)

    /** Guards against a bad version that is accepted, in whichever way it is bad. */
    @Test
    fun fewerThanOneInAHundredBadVersionsAreAccepted() {
        val accepted = (1..HISTORIES).mapNotNull { seed ->
            val random = Random(seed)
            val fault = Fault.random(random)
            val site = VersionSite(
                gateways(random),
                random.nextDouble(100.0, 500.0),
                duration(random),
                fault,
                emptySet(),
                seed
            )
                .run()
            assertEquals(emptyList(), site.violations, "seed $seed, $fault")
            "seed $seed: $fault, ${site.requests} requests, ${site.exposed} exposed".takeIf {
                site.outcome !is VersionPhase.RolledBack
            }
        }
        assertTrue(accepted.size < HISTORIES / 100, accepted.joinToString("\n"))
    }

    /** Guards against a good version that is not moved to in time, or is left for what is no fault of it. */
    @Test
    fun fewerThanOneInAHundredGoodVersionsAreRolledBackOrLate() {
        val failed = (1..HISTORIES).mapNotNull { seed ->
            val random = Random(seed)
            val duration = duration(random)
            val perSecond = listOf(0.1, 1.0, 5.0, 30.0, 150.0, 400.0).random(random)
            val site = VersionSite(gateways(random), perSecond, duration, null, emptySet(), seed).run()
            assertEquals(emptyList(), site.violations, "seed $seed")
            val isInTime = site.decidedAfter.let { it != null && it <= duration }
            "seed $seed: ${site.outcome} after ${site.decidedAfter} of $duration, ${site.evidence}"
                .takeIf { site.outcome != VersionPhase.Done || !isInTime }
        }
        assertTrue(failed.size < HISTORIES / 100, failed.joinToString("\n"))
    }

    /** Guards against a share beyond the bounds, or a request to a version that was left, in each kind of trouble. */
    @Test
    fun theBoundsHoldInAllTroubles() {
        SiteTrouble.entries.forEach { trouble ->
            (1..TROUBLED).forEach { seed ->
                val random = Random(seed)
                val fault = if (random.nextBoolean()) Fault.random(random) else null
                val troubles = setOf(trouble, SiteTrouble.entries.random(random))
                val size = if (seed == 1 && trouble in TROUBLES_OF_LARGE_FLEETS) 340 else gateways(random)
                val site = VersionSite(
                    size,
                    random.nextDouble(50.0, 300.0),
                    duration(random),
                    fault,
                    troubles,
                    seed
                ).run()
                assertEquals(emptyList(), site.violations, "seed $seed, $troubles, $size gateways")
            }
        }
    }

    /** Guards against grants that do not reach requests where each gateway has few. */
    @Test
    fun aLargeFleetFindsABadVersionWithFewRequestsOfEachGateway() {
        (1..10).forEach { seed ->
            val fault = Fault(BadAnswers.FAILED, BadWhen.AT_ONCE, part = 0.5, slowdown = 1.0, since = 0.0)
            val site = VersionSite(340, 300.0, 20.seconds, fault, emptySet(), seed).run()
            assertTrue(site.outcome is VersionPhase.RolledBack, "seed $seed: ${site.outcome}")
            assertTrue(site.badAnswers < 50, "seed $seed: ${site.badAnswers} bad answers")
            assertEquals(emptyList(), site.violations)
        }
    }

    private companion object {
        const val HISTORIES = 400
        const val TROUBLED = 6
        val TROUBLES_OF_LARGE_FLEETS = setOf(SiteTrouble.LOST_MESSAGES, SiteTrouble.CUTS, SiteTrouble.RESTARTS)
    }
}
