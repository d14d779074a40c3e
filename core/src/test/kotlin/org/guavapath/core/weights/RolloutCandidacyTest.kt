package org.guavapath.core.weights

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val ready = HolderState(isAvailable = true, isUpToDate = true)
private val behind = HolderState(isAvailable = true, isUpToDate = false)
private val lost = HolderState(isAvailable = false, isUpToDate = true)

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
        val candidacy = RolloutCandidacy(VmId("vm-2"))
        val others = listOf("vm-1", "vm-3", "vm-4").map { VmId(it) }.zip(case.others).toMap()
        val start = MonotonicTime.ZERO
        val holder = case.holder?.let { VmId(it) }
        candidacy.isCandidate(holder, others, start)
        assertEquals(case.isCandidate, candidacy.isCandidate(holder, others, start + case.since), case.name)
    }

    @Test
    fun aVmThatHasCaughtUpIsEligibleAgain() {
        val candidacy = RolloutCandidacy(VmId("vm-2"))
        val holder = VmId("vm-1")
        listOf(behind to 0, ready to 1_000, behind to 1_500, behind to 2_000).forEach { (state, at) ->
            val now = MonotonicTime.ZERO + at.milliseconds
            assertEquals(false, candidacy.isCandidate(holder, mapOf(holder to state), now), "after $at ms")
        }
    }
}
