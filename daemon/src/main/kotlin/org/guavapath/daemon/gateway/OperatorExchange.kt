package org.guavapath.daemon.gateway

import kotlinx.coroutines.flow.drop
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.StoreEra
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.platform.wire.StoreKinds

/**
 * Shares what the operator has written with the other gateways, by the operator's own numbers.
 *
 * A store that returns from an older copy lacks the newest of it for a while. The gateways still know it; one that
 * starts then, or had not received it, learns it from the others.
 */
internal class OperatorExchange(
    private val operator: OperatorState,
    private val peers: PeerExchange,
    private val store: EraTrackingStore,
) {
    /** Tells all linked gateways each time the store has returned from an older copy. */
    suspend fun run() = store.era.drop(1).collect { peers.broadcast(message(isGreeting = false)) }

    /** Tells [peer] what is known here; it answers with what it knows. */
    fun linked(peer: VmId) = peers.send(peer, message(isGreeting = true))

    /** Applies what [from] knows, and passes on what is new. */
    fun received(from: VmId, message: PeerMessage.OperatorTold) {
        val isNewConfiguration = message.configuration?.let {
            operator.offerConfiguration(decode(StoreKinds.CONFIGURATIONS, StoreKinds.CONFIGURATION_NAME, it))
        } ?: false
        val newWeights = message.weights.filter { (name, shared) -> isNew(name, shared, from) }
        if (message.isGreeting) peers.send(from, message(isGreeting = false))
        if (isNewConfiguration || newWeights.isNotEmpty()) peers.relay(from, message(isGreeting = false))
    }

    private fun isNew(name: String, shared: PeerMessage.SharedObject, from: VmId) =
        operator.offerWeights(decode(StoreKinds.WEIGHTS, name, shared), from, isWitnessed = false)

    private fun message(isGreeting: Boolean) = PeerMessage.OperatorTold(
        operator.storedConfiguration?.let { SharedViewCodec.encode(it) },
        operator.storedWeights.mapValues { SharedViewCodec.encode(it.value) },
        isGreeting,
    )

    private fun decode(kind: ObjectKind, name: String, shared: PeerMessage.SharedObject) =
        SharedViewCodec.decode(kind, name, shared, StoreEra.UNKNOWN)
}
