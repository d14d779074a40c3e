package org.guavapath.daemon.gateway

import kotlinx.serialization.json.JsonPrimitive
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.Listing
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoredObject
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerHandshake
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender
import org.guavapath.daemon.peers.PeerTask
import org.guavapath.daemon.settings.ListenAddress
import org.guavapath.platform.wire.SampleFleet
import org.guavapath.platform.wire.StoreKinds
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Keeps the messages that a gateway sends. */
private class SentMessages : PeerSender {
    val sent = ArrayList<Pair<VmId, PeerMessage>>()

    override fun send(to: VmId, message: PeerMessage) {
        sent += to to message
    }

    override fun sendToAll(message: PeerMessage) = error("not expected: $message")
}

class ViewExchangeTest {
    /** Revisions of the other gateways' copies; the copy here is as of [COPY]. */
    private class Case(val name: String, val others: List<Long>, val askedGateways: Set<Int>)

    private val kind = StoreKinds.CONFIGURATIONS

    /** Returns the gateways that were asked for their copy while each reported its revision every 50 ms. */
    private fun askedGateways(case: Case): Set<Int> {
        val settings = SampleSettings(vm = "vm").read()
        val log = GatewayLog()
        val store = EraTrackingStore(SampleStore(SampleFleet("127.0.0.1:1")), log)
        val view = StoreView(kind, store, log) {}
        view.adopt(Listing(mapOf("name" to StoredObject("name", COPY, JsonPrimitive(1))), COPY), "vm")
        val peers = SentMessages()
        val links = PeerTask(ListenAddress("127.0.0.1", 0), PeerHandshake(VmId("vm"), Incarnation(1), emptyList()))
        val fleet = FleetState(settings.failureDomain, MonotonicTime.now(), isFirstStart = false)
        val exchange = ViewExchange(listOf(view), peers, PeerTopology(settings, links, fleet, log), store)
        val begun = TimeSource.Monotonic.markNow()
        do {
            val isLast = begun.elapsedNow() >= TIME_TO_ASK
            case.others.forEachIndexed { index, revision ->
                exchange.statusReceived(VmId("vm-$index"), mapOf(kind.text to revision), peerEra = null, true)
            }
            Thread.sleep(REPORT_INTERVAL.inWholeMilliseconds)
        } while (!isLast)
        links.close()
        return peers.sent.filter { it.second == PeerMessage.ViewWanted(kind.text) }
            .map { it.first.text.substringAfter('-').toInt() }.toSet()
    }

    /** Guards against copies that stay behind because gateways that are no further restart the wait (CONFIG). */
    @Test
    fun aGatewayThatIsAheadIsAskedForItsCopyWhateverTheOthersHave() {
        val cases = listOf(
            Case("none ahead", listOf(3, 5, 5), emptySet()),
            Case("one ahead", listOf(9), setOf(0)),
            Case("one ahead, one at the same revision", listOf(9, 5), setOf(0)),
            Case("one ahead, one behind, one without a copy", listOf(4, 9, 0), setOf(1)),
        )
        assertEquals(cases.map { it.name to it.askedGateways }, cases.map { it.name to askedGateways(it) })
    }

    private companion object {
        val COPY = Revision(5)
        val REPORT_INTERVAL = 50.milliseconds

        /** Leaves two thirds of the time in which a configuration must be in force for the way to it. */
        val TIME_TO_ASK = 1.seconds
    }
}
