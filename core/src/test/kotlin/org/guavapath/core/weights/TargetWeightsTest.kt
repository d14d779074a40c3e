package org.guavapath.core.weights

import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val model = ModelName("model")
private val start = MonotonicTime.ZERO + 100.seconds

class TargetWeightsTest {
    /** @property expected how outdated weights 1 are, 10 s after [start] */
    private class Case(val name: String, val expected: Staleness, val history: TargetWeights.() -> Unit)

    private fun naming(number: Long, after: Duration, isWitnessed: Boolean, notBefore: Duration? = null): TargetNaming {
        val learnedAt = start + after
        val witnessedAt = learnedAt.takeIf { isWitnessed }
        return TargetNaming(WeightsNumber(number), learnedAt, witnessedAt, notBefore?.let { start + it })
    }

    private fun TargetWeights.set(
        number: Long,
        after: Duration,
        isWitnessed: Boolean = true,
        notBefore: Duration? = null,
    ) = setTarget(model, naming(number, after, isWitnessed, notBefore))

    private fun TargetWeights.told(
        number: Long,
        after: Duration,
        isWitnessed: Boolean = true,
        uncertainty: Duration = Duration.ZERO,
        notBefore: Duration? = null,
    ) = learn(model, listOf(naming(number, after, isWitnessed, notBefore)), uncertainty)

    private val cases = listOf(
        Case("no target", Staleness.Current) {},
        Case("the same weights", Staleness.Current) { set(1, 0.seconds) },
        Case("a change was seen", Staleness.Replaced(4.seconds)) { set(2, 6.seconds) },
        Case("the first of two newer targets counts", Staleness.Replaced(7.seconds)) {
            set(2, 3.seconds)
            set(3, 9.seconds)
        },
        Case("a target was found", Staleness.Unknown(1.seconds)) { set(2, 9.seconds, isWitnessed = false) },
        Case("an earlier change of another VM", Staleness.Replaced(8.seconds)) {
            set(2, 9.seconds, isWitnessed = false)
            told(2, 2.seconds)
        },
        Case("another VM saw it change, late", Staleness.Unknown(4.seconds)) {
            set(2, 6.seconds, isWitnessed = false)
            told(2, 8.seconds)
        },
        Case("another VM saw it change at about the same time", Staleness.Replaced(4.seconds)) {
            set(2, 6.seconds, isWitnessed = false)
            told(2, 6200.milliseconds)
        },
        Case("this VM saw it change late, another found it before", Staleness.Unknown(7.seconds)) {
            set(2, 6.seconds)
            told(2, 3.seconds, isWitnessed = false)
        },
        Case("this VM saw it change late, another in time", Staleness.Replaced(8.seconds)) {
            set(2, 6.seconds)
            told(2, 2.seconds)
        },
        Case("the store showed that it was not named yet", Staleness.Replaced(3.seconds)) {
            set(2, 9.seconds, isWitnessed = false, notBefore = 7.seconds)
        },
        Case("another VM knows a later time at which it was not", Staleness.Replaced(2.seconds)) {
            set(2, 9.seconds, isWitnessed = false)
            told(2, 9.seconds, isWitnessed = false, notBefore = 8.seconds)
        },
        Case("a VM that found it too knows no more", Staleness.Unknown(8.seconds)) {
            set(2, 9.seconds, isWitnessed = false)
            told(2, 2.seconds, isWitnessed = false)
        },
        Case("a target between was missed", Staleness.Replaced(7.seconds)) {
            set(3, 9.seconds)
            told(2, 3.seconds)
        },
        Case("a target between was missed, and nobody saw it change", Staleness.Unknown(7.seconds)) {
            set(3, 9.seconds)
            told(2, 3.seconds, isWitnessed = false)
        },
        Case("a newer target is not adopted by its age alone", Staleness.Current) {
            set(1, 1.seconds)
            told(2, 2.seconds)
        },
        Case("an older number does not count again", Staleness.Replaced(5.seconds)) {
            set(2, 5.seconds)
            set(2, 6.seconds)
        },
        Case("the clock stood still", Staleness.Replaced(7.seconds)) {
            set(2, 6.seconds)
            suspended(3.seconds, start + 9.seconds)
        },
        Case("the time was set forward, as another VM knows", Staleness.Replaced(4.seconds)) {
            set(2, 6.seconds)
            suspended(3.seconds, start + 9.seconds)
            told(2, 6.seconds)
        },
        Case("an answer that agrees changes nothing", Staleness.Replaced(4.seconds)) {
            set(2, 6.seconds)
            told(2, 5.seconds, uncertainty = 1.seconds)
        },
    )

    /** Guards against taking a target for younger than it is. */
    @Test
    fun stalenessFollowsWhatAnyVmKnows() = cases.forEach { case ->
        val targets = TargetWeights().apply { case.history(this) }
        assertEquals(case.expected, targets.staleness(model, WeightsNumber(1), start + 10.seconds), case.name)
    }

    /** Guards against ages that grow with each question. */
    @Test
    fun vmsThatAskEachOtherAgainAndAgainAgree() {
        val vms = List(2) { TargetWeights().apply { set(2, 1.seconds) } }
        repeat(100) { round ->
            val known = vms[round % 2].namings().getValue(model)
            val told = known.map { naming(2, it.learnedAt - start - 50.milliseconds, isWitnessed = true) }
            vms[(round + 1) % 2].learn(model, told, uncertainty = 50.milliseconds)
        }
        val now = start + 10.seconds
        vms.forEach { assertEquals(Staleness.Replaced(9.seconds), it.staleness(model, WeightsNumber(1), now)) }
    }

    /** Guards against a VM that takes all weights for the newest as it has not yet been able to read the targets. */
    @Test
    fun weightsAreOfUnknownAgeUntilTargetsAreKnown() {
        val targets = TargetWeights(areKnown = false)
        assertEquals(Staleness.Unknown(Duration.ZERO), targets.staleness(model, WeightsNumber(1), start))
        targets.listed()
        assertEquals(Staleness.Current, targets.staleness(model, WeightsNumber(1), start))
    }
}
