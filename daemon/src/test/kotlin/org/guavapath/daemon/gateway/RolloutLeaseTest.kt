package org.guavapath.daemon.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.platform.wire.SampleFleet
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class RolloutLeaseTest {
    private val store = MemoryStore(SampleFleet("127.0.0.1:1"))
    private val log = GatewayLog()

    private fun lease(vm: String, incarnation: Long = 1) = RolloutLease(
        VmId(vm),
        Incarnation(incarnation),
        StoredRolloutLease(EraTrackingStore(CountingStore(store), log), log),
        isFirstStart = false,
        log,
    )

    /** Takes the lease for [lease] and waits until it may be used; returns its token. */
    private suspend fun take(lease: RolloutLease): Long {
        var token = lease.confirmedToken()
        while (token == null) {
            delay(100.milliseconds)
            token = lease.confirmedToken()
        }
        return token
    }

    /**
     * Takes the lease on a store that then returns from a copy.
     *
     * @property holders gateways that take the lease in turn; the copy has as many of them as [copied]
     * @property next the gateway that takes it after the return
     */
    private class Case(val name: String, val holders: List<String>, val copied: Int, val next: String)

    /** Guards against a second holder of a token, and against orders by the holder of a lost lease. */
    @Test
    fun tokensAreNeverUsedAgainAfterTheStoreReturns() {
        val both = listOf("vm-1", "vm-2")
        val cases = listOf(
            Case("the copy has no holder, the last one returns", listOf("vm-1"), copied = 0, next = "vm-1"),
            Case("the copy has no holder, another one follows", listOf("vm-1"), copied = 0, next = "vm-2"),
            Case("the copy has a former holder, who returns", both, copied = 1, next = "vm-1"),
            Case("the copy has a former holder, the last one returns", both, copied = 1, next = "vm-2"),
            Case("the copy has a former holder, a third follows", both, copied = 1, next = "vm-3"),
            Case("the copy has the last holder, who returns", listOf("vm-1"), copied = 1, next = "vm-1"),
        )
        cases.forEach { case -> runBlocking { assertTokensRise(case) } }
    }

    private suspend fun assertTokensRise(case: Case) {
        val leases = (case.holders + case.next).toSet().associateWith { lease(it) }
        var copied = store.size
        val tokens = case.holders.mapIndexed { index, holder ->
            take(leases.getValue(holder)).also { if (index < case.copied) copied = store.size }
        }
        store.restore(copied)
        delay(CONFIRMATION_VALIDITY)
        val next = take(leases.getValue(case.next))
        assertTrue(next > tokens.max(), "${case.name}: $next after $tokens")
        delay(CONFIRMATION_VALIDITY)
        val others = leases.filterKeys { it != case.next }
        others.forEach { (_, other) -> other.holderReceived(leases.getValue(case.next).knownHolder) }
        assertEquals(next, assertNotNull(leases.getValue(case.next).confirmedToken(), case.name))
    }

    /** Guards against a second without orders when the holder's process has only been restarted. */
    @Test
    fun aRestartedHolderNeedNotWaitForItself() = runBlocking {
        val first = take(lease("vm-1"))
        val restarted = lease("vm-1", incarnation = 2)
        val third = lease("vm-1", incarnation = 3)
        assertEquals(null, restarted.confirmedToken(), "another holder before may still have a confirmation")
        delay(HANDOVER_DELAY)
        val token = assertNotNull(restarted.confirmedToken(), "usable a second after the start")
        assertTrue(token > first, "$token after $first")
        assertNotNull(third.confirmedToken(), "usable at once, a second after the start")
        val other = lease("vm-2")
        assertEquals(null, other.confirmedToken(), "another gateway leaves the holder the lease for a while")
        delay(TURN)
        assertEquals(null, other.confirmedToken(), "another gateway waits")
        delay(CONFIRMATION_VALIDITY)
        assertEquals(null, third.confirmedToken(), "the last holder was another gateway")
    }

    private companion object {
        /** Longer than a confirmation is valid. */
        val CONFIRMATION_VALIDITY = 800.milliseconds
        val HANDOVER_DELAY = 1000.milliseconds

        /** Longer than a holder that was only found in the store is left the lease. */
        val TURN = 1800.milliseconds
    }
}
