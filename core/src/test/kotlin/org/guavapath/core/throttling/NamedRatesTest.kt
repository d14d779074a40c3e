package org.guavapath.core.throttling

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NamedRatesTest {
    private val replica = ReplicaIncarnation(ReplicaId("replica"), startedAt = 1)

    private fun at(milliseconds: Int) = MonotonicTime.ZERO + milliseconds.milliseconds

    private fun named(perSecond: Double) = RateStatement.Named(RequestRate(perSecond))

    /** A response at [received] to a request sent at [sent], both in milliseconds. */
    private inner class Response(
        val sent: Int,
        val received: Int,
        val statement: RateStatement,
        val isSuccess: Boolean = true,
    ) {
        fun applyTo(rates: NamedRates) =
            rates.responded(replica, statement, isSuccess, at(sent), at(received))
    }

    @Test
    fun newestStatementIsInForce() {
        val absent = RateStatement.Absent
        val cases = listOf(
            Triple("no rate", listOf(Response(0, 10, absent)), null),
            Triple("a rate", listOf(Response(0, 10, named(2.0))), 2.0),
            Triple("a changed rate", listOf(Response(0, 10, named(2.0)), Response(20, 30, named(3.0))), 3.0),
            Triple("an ended rate", listOf(Response(0, 10, named(2.0)), Response(20, 30, absent)), null),
            Triple(
                "a response to a request from before the rate",
                listOf(Response(0, 10, named(2.0)), Response(5, 30, absent)),
                2.0,
            ),
            Triple(
                "a refusal without a rate",
                listOf(Response(0, 10, named(2.0)), Response(20, 30, absent, isSuccess = false)),
                2.0,
            ),
            Triple("a refusal with a rate", listOf(Response(0, 10, named(2.0), isSuccess = false)), 2.0),
            Triple(
                "an invalid rate after a valid one",
                listOf(Response(0, 10, named(2.0)), Response(20, 30, RateStatement.Invalid("x"))),
                2.0,
            ),
            Triple("an invalid rate", listOf(Response(0, 10, RateStatement.Invalid("x"))), null),
            Triple(
                "a rate that returns",
                listOf(Response(0, 10, named(2.0)), Response(20, 30, absent), Response(40, 50, named(1.0))),
                1.0,
            ),
        )
        cases.forEach { (name, responses, expected) ->
            val rates = NamedRates()
            responses.forEach { it.applyTo(rates) }
            assertEquals(expected, rates.rate(replica)?.perSecond, name)
        }
    }

    @Test
    fun onlyChangesAreReported() {
        val rates = NamedRates()
        val changes = listOf(named(2.0), named(2.0), named(3.0), RateStatement.Absent, RateStatement.Absent)
            .mapIndexed { index, statement -> Response(10 * index, 10 * index + 5, statement).applyTo(rates) }
        assertEquals(listOf(2.0, null, 3.0, null, null), changes.map { it?.rate?.perSecond })
        assertEquals(listOf(true, false, true, true, false), changes.map { it != null })
    }

    @Test
    fun noticesOfOtherVmsAreAppliedInTheOrderOfTheirTimes() {
        fun notice(perSecond: Double?, at: Int, startedAt: Long = 1) =
            RateNotice(ReplicaIncarnation(replica.id, startedAt), perSecond?.let { RequestRate(it) }, at(at))

        val cases = listOf(
            Triple("in order", listOf(notice(2.0, 1), notice(3.0, 2)), 3.0),
            Triple("overtaken", listOf(notice(3.0, 2), notice(2.0, 1)), 3.0),
            Triple("ended before it was named again", listOf(notice(2.0, 2), notice(null, 1)), 2.0),
            Triple("ended", listOf(notice(2.0, 1), notice(null, 2)), null),
            Triple("a repeated notice of an ended rate", listOf(notice(null, 2), notice(2.0, 1)), 2.0),
            Triple("of a later incarnation", listOf(notice(2.0, 1), notice(5.0, 2, startedAt = 2)), null),
            Triple("of an earlier incarnation", listOf(notice(2.0, 1), notice(5.0, 2, startedAt = 0)), 2.0),
        )
        cases.forEach { (name, notices, expected) ->
            val rates = NamedRates()
            notices.forEach { rates.receive(it) }
            assertEquals(expected, rates.rate(replica)?.perSecond, name)
        }
    }

    @Test
    fun replicasThatAreGoneAreForgotten() {
        val rates = NamedRates()
        Response(0, 10, named(2.0)).applyTo(rates)
        rates.expire(setOf(replica), at(60_000))
        assertEquals(1, rates.limitedReplicas)
        rates.expire(setOf(replica.copy(startedAt = 2)), at(60_000))
        assertEquals(0, rates.notices.size)
    }

    @Test
    fun endedRatesAreRetainedForAWhile() {
        val rates = NamedRates()
        Response(0, 10, named(2.0)).applyTo(rates)
        Response(20, 30, RateStatement.Absent).applyTo(rates)
        rates.expire(setOf(replica), at(0) + 5.seconds)
        assertEquals(1, rates.notices.size)
        rates.expire(setOf(replica), at(0) + 20.seconds)
        assertEquals(0, rates.notices.size)
    }

    @Test
    fun ratesAreFiniteAndNotNegative() {
        listOf(-1.0, Double.NaN, Double.POSITIVE_INFINITY).forEach {
            assertFailsWith<IllegalArgumentException>("$it") { RequestRate(it) }
        }
        assertEquals(0.0, RequestRate(0.0).perSecond)
    }
}
