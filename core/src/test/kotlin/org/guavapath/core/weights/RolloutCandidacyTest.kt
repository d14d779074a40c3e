package org.guavapath.core.weights

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val ready = HolderState(isAvailable = true, isUpToDate = true)
private val behind = HolderState(isAvailable = true, isUpToDate = false)
private val lost = HolderState(isAvailable = false, isUpToDate = true)

/** When a VM that started at 0 s has heard of those that are well. */
private val settledAt = MonotonicTime.ZERO + 2.seconds

class RolloutCandidacyTest {
    /**
     * @property others states of vm-1, vm-3 and vm-4 as known to vm-2
     * @property since how long they have been like that
     */
    private class Case(
        val name: String,
        val holder: String?,
        val others: List<HolderState>,
        val since: Duration,
        val isCandidate: Boolean,
    )

    private val cases = listOf(
        Case("no holder, a lower name", null, listOf(ready, ready, ready), 0.milliseconds, false),
        Case("no holder, the lower name is lost", null, listOf(lost, ready, ready), 0.milliseconds, true),
        Case("this VM holds it", "vm-2", listOf(ready, ready, ready), 0.milliseconds, true),
        Case("another holds it", "vm-3", listOf(lost, ready, ready), 0.milliseconds, false),
        Case("the holder is lost", "vm-3", listOf(lost, lost, ready), 0.milliseconds, true),
        Case("the holder is about to learn of a target", "vm-3", listOf(lost, behind, ready), 900.milliseconds, false),
        Case("the holder does not learn of a target", "vm-3", listOf(lost, behind, ready), 1100.milliseconds, true),
        Case("all others are about to learn of it", "vm-3", listOf(behind, behind, behind), 900.milliseconds, false),
        Case("none of the others learns of it", "vm-3", listOf(behind, behind, behind), 1100.milliseconds, true),
        Case("the holder is not known", "vm-9", listOf(lost, ready, ready), 0.milliseconds, true),
    )

    /** Guards against a lease that goes from VM to VM whenever a target is named. */
    @Test
    fun theHolderIsPassedOverOnlyIfItIsLostOrStaysBehind() = cases.forEach { case ->
        val candidacy = settledCandidacy()
        val others = states(case.others)
        val holder = case.holder?.let { VmId(it) }
        val answers = (0..case.since.inWholeMilliseconds step 100)
            .map { candidacy.isCandidate(holder, others, isAlone = false, settledAt + it.milliseconds) }
        assertEquals(case.isCandidate, answers.last(), case.name)
    }

    private fun states(states: List<HolderState>) =
        listOf("vm-1", "vm-3", "vm-4").map { VmId(it) }.zip(states).toMap()

    /** A VM that has run and been asked from its start until [settledAt]. */
    private fun settledCandidacy() = RolloutCandidacy(VmId("vm-2"), MonotonicTime.ZERO).also { candidacy ->
        for (tenths in 0..20) candidacy.isSettled(MonotonicTime.ZERO + 100.milliseconds * tenths)
    }

    /**
     * A VM that starts at 0 s and is asked every 0.1 s.
     *
     * @property frozen when it does not run, null if it always does
     * @property heardFrom when it has heard of vm-1, the holder; until then only that it is the holder
     */
    private class Start(
        val name: String,
        val frozen: ClosedRange<Duration>?,
        val heardFrom: Duration,
        val takesAt: Duration?,
    )

    private val starts = listOf(
        Start("it hears of the holder soon", null, 1200.milliseconds, null),
        Start("it never hears of the holder", null, Duration.INFINITE, 1600.milliseconds),
        Start("it is frozen and hears of the holder again", 2.seconds..5.seconds, 5100.milliseconds, null),
        Start("it is frozen while the holder is lost", 2.seconds..5.seconds, Duration.INFINITE, 1600.milliseconds),
    )

    /** Guards against a VM that starts, or thaws, and takes the lease from a holder that is well. */
    @Test
    fun aVmThatHasNotHeardOfTheHolderYetLeavesItTheLease() = starts.forEach { start ->
        val candidacy = RolloutCandidacy(VmId("vm-2"), MonotonicTime.ZERO)
        val holder = VmId("vm-1")
        val takenAt = (0..70).map { 100.milliseconds * it }
            .filter { time -> start.frozen?.let { time in it } != true }
            .firstOrNull { time ->
                val isHeard = if (start.frozen == null) time >= start.heardFrom else isHeardAround(start, time)
                val others = if (isHeard) mapOf(holder to ready) else emptyMap()
                candidacy.isCandidate(holder, others, isAlone = false, MonotonicTime.ZERO + time)
            }
        assertEquals(start.takesAt, takenAt, start.name)
    }

    private fun isHeardAround(start: Start, time: Duration): Boolean {
        val isBefore = time < checkNotNull(start.frozen).start && start.heardFrom.isFinite()
        return isBefore || time >= start.heardFrom
    }

    /** Guards against orders that fail at the holder only. */
    @Test
    fun theNextEligibleVmFollowsAHolderWhoseOrdersFail() {
        val cases = listOf(
            Triple("the next name", listOf(ready, ready, ready), "vm-3"),
            Triple("the next name is lost", listOf(ready, lost, ready), "vm-4"),
            Triple("no later name", listOf(ready, lost, lost), "vm-1"),
            Triple("no other", listOf(lost, lost, lost), null),
        )
        cases.forEach { (name, others, expected) ->
            assertEquals(expected, settledCandidacy().successor(states(others), settledAt)?.text, name)
        }
    }

    @Test
    fun anInvitedVmTakesTheLeaseFromAHolderThatIsWell() {
        val candidacy = settledCandidacy()
        val others = states(listOf(ready, ready, ready))
        candidacy.invited(settledAt)
        listOf(0 to true, 1_000 to true, 1_900 to true, 2_100 to false).forEach { (milliseconds, isCandidate) ->
            val now = settledAt + milliseconds.milliseconds
            assertEquals(
                isCandidate,
                candidacy.isCandidate(VmId("vm-1"), others, isAlone = false, now),
                "$milliseconds"
            )
        }
    }

    @Test
    fun aVmThatHasCaughtUpIsEligibleAgain() {
        val candidacy = settledCandidacy()
        val holder = VmId("vm-1")
        listOf(behind to 0, ready to 1_000, behind to 1_500, behind to 2_000).forEach { (state, at) ->
            val now = settledAt + at.milliseconds
            assertEquals(
                false,
                candidacy.isCandidate(holder, mapOf(holder to state), isAlone = false, now),
                "after $at ms"
            )
        }
    }

    /** Guards against a VM that takes the lease as it starts, before it has heard of the holder. */
    @Test
    fun aVmThatHasHeardOfNobodyWaits() {
        listOf(false, true).forEach { isAlone ->
            val candidacy = RolloutCandidacy(VmId("vm-2"), MonotonicTime.ZERO)
            val isCandidate = candidacy.isCandidate(holder = null, emptyMap(), isAlone, MonotonicTime.ZERO)
            assertEquals(isAlone, isCandidate, "alone: $isAlone")
        }
    }
}
