package org.guavapath.daemon.gateway

import org.guavapath.core.identity.VmId
import org.guavapath.core.placement.PromptDirectory
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender

/**
 * Batches records of which replicas have prefilled which shared prompt parts. Equals receive those of this gateway and
 * its members; members also receive those of other hubs.
 */
internal class PromptPublisher(private val peers: PeerSender, private val topology: PeerTopology) {
    private val fromGroup = LinkedHashMap<Long, String>()
    private val fromOtherHubs = LinkedHashMap<Long, String>()

    /** Adds the records of [from] to the next batch if this gateway relays to members. */
    fun collect(from: VmId, message: PeerMessage.PromptsRead) {
        if (topology.members.isEmpty()) return
        val batch = if (topology.isOwnMember(from)) fromGroup else fromOtherHubs
        message.steps.forEach { (replica, prefixes) -> prefixes.forEach { batch[it] = replica } }
    }

    /** Publishes what was collected since the last call, together with the new records of [directory]. */
    fun flush(directory: PromptDirectory) {
        directory.takeUnpublished().forEach { (prefix, replica) -> fromGroup[prefix.bits] = replica.text }
        publish(topology.equalPeers, fromGroup)
        publish(topology.members, fromOtherHubs + fromGroup)
        fromGroup.clear()
        fromOtherHubs.clear()
    }

    private fun publish(recipients: Set<VmId>, batch: Map<Long, String>) {
        if (batch.isEmpty() || recipients.isEmpty()) return
        val message = PeerMessage.PromptsRead(batch.entries.groupBy({ it.value }, { it.key }))
        recipients.forEach { peers.send(it, message) }
    }
}
