package org.guavapath.core.versions

import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.SoftwareVersion
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GatewayShareTest {
    private val order = VersionOrder(ServiceName("service"), SoftwareVersion("v2"), 12.seconds, createdAt = 7)
    private val route = RouteName("route")
    private val start = MonotonicTime.ZERO + 100.seconds
    private val share = GatewayShare(order, Incarnation(3), ExposureBounds(0.1, 50, 5.seconds), start)

    private fun grant(number: Long, answered: Long = 1) = VersionGrant(
        order,
        Incarnation(3),
        number = answered,
        answered,
        token = 1,
        Duration.ZERO,
        VersionPhase.Trial,
        ceiling = 50,
        mapOf(route to number),
    )

    private fun sentOf(requests: Int, now: MonotonicTime) = (1..requests).count {
        share.requestCame(route)
        share.choose(route, now) == VersionChoice.TARGET
    }

    /** Guards against a share of the target beyond what was granted, whatever the order-giver's messages go through. */
    @Test
    fun onlyGrantedRequestsGoToTheTarget() {
        assertEquals(0, sentOf(4, start))
        share.report(0, start)
        val cases = listOf(
            Triple("a grant", grant(3), 3),
            Triple("the same grant again", grant(3), 0),
            Triple("an older grant that comes late", grant(2), 0),
            Triple("a larger grant", grant(5), 2),
            Triple("a grant for a former run", grant(9).copy(incarnation = Incarnation(2)), 0),
            Triple("a grant for another order", grant(9).copy(order = order.copy(createdAt = 8)), 0),
            Triple("a grant that rests on no report", grant(9, answered = 8), 0),
            Triple("a grant of the next order-giver", grant(2).copy(token = 2), 2),
            Triple("a grant of the former order-giver", grant(9), 0),
        )
        cases.forEach { (name, grant, expected) ->
            share.granted(grant, start)
            assertEquals(expected, sentOf(20, start), name)
        }
    }

    /** Guards against a gateway that goes on with a bad version as it is not told to leave it. */
    @Test
    fun aGatewayThatHearsNothingSendsNothingNew() {
        share.report(0, start)
        share.granted(grant(100), start + 400.milliseconds)
        assertEquals(5, sentOf(10, start + 1400.milliseconds))
        assertEquals(0, sentOf(10, start + 1500.milliseconds), "the report that the grant rests on is too old")
        share.report(0, start + 1600.milliseconds)
        assertEquals(0, sentOf(10, start + 1600.milliseconds))
        share.granted(grant(200, answered = 2), start + 1700.milliseconds)
        assertEquals(25, sentOf(20, start + 1700.milliseconds) + sentOf(10, start + 1800.milliseconds))
        share.report(0, start + 1900.milliseconds)
        share.granted(grant(200, answered = 3).copy(phase = VersionPhase.Move), start + 2.seconds)
        assertEquals(10, sentOf(10, start + 2.seconds))
        assertEquals(10, sentOf(10, start + 5300.milliseconds))
        assertEquals(0, sentOf(10, start + 5400.milliseconds), "no move without the order-giver")
    }

    /** Guards against grants that lie unused at gateways without requests. */
    @Test
    fun unusedGrantsAreReturnedOnceAndForAll() {
        share.report(0, start)
        share.granted(grant(6), start)
        assertEquals(2, sentOf(4, start))
        assertEquals(mapOf(route to 0L), share.report(0, start + 1.seconds).returned)
        assertEquals(mapOf(route to 4L), share.report(0, start + 1100.milliseconds).returned)
        share.granted(grant(6, answered = 3), start + 1200.milliseconds)
        assertEquals(0, sentOf(10, start + 1200.milliseconds))
        share.granted(grant(7, answered = 3), start + 1200.milliseconds)
        assertEquals(1, sentOf(10, start + 1200.milliseconds))
    }

    /** Guards against a version that comes back after it was left. */
    @Test
    fun aDecisionNeverChanges() {
        share.report(0, start)
        share.granted(grant(10).copy(phase = VersionPhase.RolledBack("bad")), start)
        share.granted(grant(20).copy(phase = VersionPhase.Move, token = 2), start)
        share.decided(VersionPhase.Done)
        assertEquals(0, sentOf(10, start))
    }
}
