package org.guavapath.daemon.gateway

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.guavapath.core.versions.ExposureBounds
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class GatewaySettingsTest {
    private fun settings(more: String) = GatewaySettings.read(
        """
        {"vm": "vm-1", "failureDomain": "domain", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
         "peers": "127.0.0.1:3", "store": "127.0.0.1:4", "peerSecrets": ["sixteen characters"],
         "drainMilliseconds": 1000, "repeatRatio": 1.0, "repeatWindowSeconds": 1, "repeatSlack": 1.0$more}
        """,
    )

    private class Case(val more: String, val usableFor: Duration?)

    private val cases = listOf(
        Case("", 5.seconds),
        Case(""", "replacedWeightsMilliseconds": 20000""", 19.seconds),
        Case(""", "replacedWeightsMilliseconds": 8000, "startupGraceMilliseconds": 4000""", 7.seconds),
        Case(""", "replacedWeightsMilliseconds": 500""", null),
    )

    /** Guards against a feature that is on where the installation states no bounds for it, or has other bounds. */
    @Test
    fun servicesMoveToOtherVersionsOnlyWithinStatedBounds() {
        val all = """, "exposureShare": 0.1, "exposureSlack": 50, "rollBackMilliseconds": 4000"""
        val cases = listOf(
            "" to null,
            """, "exposureSlack": 50""" to null,
            """, "exposureShare": 0.2""" to ExposureBounds(0.2, 0, 5.seconds),
            all to ExposureBounds(0.1, 50, 4.seconds),
        )
        cases.forEach { (more, expected) ->
            assertEquals(expected, assertNotNull(settings(more).get(), more).exposure, more)
        }
        assertNotNull(settings(""", "exposureShare": 1.5""").getError())
    }

    /** Guards against a bound that is that of other installations. */
    @Test
    fun theBoundOnReplacedWeightsIsThatOfTheInstallation() = cases.forEach { case ->
        val read = settings(case.more)
        assertEquals(case.usableFor, read.get()?.replacedWeights?.usableFor, case.more)
        if (case.usableFor == null) assertNotNull(read.getError(), case.more)
    }
}
