package org.guavapath.daemon.gateway

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
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

    /** Guards against a bound that is that of other installations. */
    @Test
    fun theBoundOnReplacedWeightsIsThatOfTheInstallation() = cases.forEach { case ->
        val read = settings(case.more)
        assertEquals(case.usableFor, read.get()?.replacedWeights?.usableFor, case.more)
        if (case.usableFor == null) assertNotNull(read.getError(), case.more)
    }
}
