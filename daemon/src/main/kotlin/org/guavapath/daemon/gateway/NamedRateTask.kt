package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.throttling.RateStatement
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.ReplicaResponseHead

/** Records the rates that replicas name in their responses. */
internal class NamedRateTask(private val fleet: FleetState, private val log: GatewayLog) {
    private val invalidTexts = HashMap<ReplicaId, String>()

    /** Records what the [head] of a response of [replica] says; the request was sent at [sentAt]. */
    fun responded(replica: Replica, head: ReplicaResponseHead, sentAt: MonotonicTime) {
        if (head.isMisdirected) return
        val statement = head.rate
        if (statement is RateStatement.Invalid) logInvalid(replica, statement)
        val isSuccess = head.isSuccess && head.isSigned
        val now = MonotonicTime.now()
        val change = fleet.rates.responded(replica.incarnation, statement, isSuccess, sentAt, now) ?: return
        log.stateChange(
            if (change.rate == null) "replica rate ended" else "replica named a rate",
            "replica" to replica.id.text,
            "ratePerSecond" to change.rate?.perSecond,
        )
    }

    /** Logs each text once, as long as the replica repeats it. */
    private fun logInvalid(replica: Replica, statement: RateStatement.Invalid) {
        invalidTexts.keys.removeIf { fleet.replicas[it] == null }
        if (invalidTexts.put(replica.id, statement.text) == statement.text) return
        log.stateChange("replica rate ignored", "replica" to replica.id.text, "text" to statement.text)
    }
}
