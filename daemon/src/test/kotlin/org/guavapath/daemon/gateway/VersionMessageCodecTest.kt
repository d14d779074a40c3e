package org.guavapath.daemon.gateway

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.fleet.SoftwareVersion
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.versions.AnswerSource
import org.guavapath.core.versions.RouteName
import org.guavapath.core.versions.SourceCounts
import org.guavapath.core.versions.Stratum
import org.guavapath.core.versions.VersionGrant
import org.guavapath.core.versions.VersionOrder
import org.guavapath.core.versions.VersionPhase
import org.guavapath.core.versions.VersionProgress
import org.guavapath.core.versions.VersionReport
import org.guavapath.daemon.peers.PeerFrames
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.VersionMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalSerializationApi::class)
class VersionMessageCodecTest {
    private val order = VersionOrder(ServiceName("s"), SoftwareVersion("v2"), 12.seconds, createdAt = 7)
    private val route = RouteName("route")
    private val phases = listOf(
        VersionPhase.Trial,
        VersionPhase.Move,
        VersionPhase.Done,
        VersionPhase.RolledBack("9 of 20 answers failed"),
    )

    private fun report(phase: VersionPhase): VersionReport {
        val counts = SourceCounts(answers = 9, failures = 2, times = mapOf(8 to 4L, 10 to 3L))
        val answers = mapOf(
            AnswerSource(Stratum(route, 1, 2), ReplicaId("target-1")) to counts,
            AnswerSource(Stratum(route, 0, 0), replica = null) to counts,
        )
        return VersionReport(
            order,
            Incarnation(3),
            number = 4,
            1500.milliseconds,
            token = 5,
            heard = 6,
            ceiling = 70,
            formerCeiling = 60,
            phase,
            mapOf(route to 100L, RouteName("other") to 1L),
            mapOf(route to 10L),
            mapOf(route to 2L),
            answers,
            runningOnOld = 8,
        )
    }

    private fun sent(message: VersionMessage): VersionMessage =
        assertIs<VersionMessage>(Cbor.decodeFromByteArray<PeerMessage>(PeerFrames.encode(message)))

    /** Guards against numbers that change places on the way, and against a message that older builds cannot read. */
    @Test
    fun messagesArriveAsTheyWereSent() = phases.forEach { phase ->
        val report = report(phase)
        val reported = sent(VersionMessage.Reported(VmId("vm-1"), VersionMessageCodec.encode(report)))
        val decoded = VersionMessageCodec.decode(assertIs<VersionMessage.Reported>(reported).report)
        val other = RouteName("other")
        val sentByRoute = report.sent + (other to 0L)
        val expected = report.copy(sent = sentByRoute, returned = report.returned + (other to 0L))
        assertEquals(expected.copy(answers = emptyMap()), decoded.copy(answers = emptyMap()))
        assertEquals(report.answers.mapValues { fields(it.value) }, decoded.answers.mapValues { fields(it.value) })
        assertEquals(null, reported.forVersion(7))
        assertEquals(reported, reported.forVersion(8))
        val grant = VersionGrant(order, Incarnation(3), 1, 2, 3, 40.milliseconds, phase, 50, mapOf(route to 6L))
        val granted = sent(VersionMessage.Granted(VmId("vm-2"), VersionMessageCodec.encode(grant)))
        assertEquals(grant, VersionMessageCodec.decode(assertIs<VersionMessage.Granted>(granted).grant))
        val progress = VersionProgress(order, 50, 400, 1.seconds, phase)
        assertEquals(progress, VersionMessageCodec.decode(VersionMessageCodec.encode(progress)))
    }

    private fun fields(counts: SourceCounts) = Triple(counts.answers, counts.failures, counts.times)
}
