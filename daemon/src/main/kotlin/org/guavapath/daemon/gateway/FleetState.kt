package org.guavapath.daemon.gateway

import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.placement.Placement
import org.guavapath.core.placement.PromptDirectory
import org.guavapath.core.placement.ReplicaRegistry
import org.guavapath.core.quarantine.CrashQuarantine
import org.guavapath.core.quota.FleetQuota
import org.guavapath.core.throttling.NamedRates
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.time.StallDetector
import org.guavapath.core.weights.ReplacedWeightsPolicy
import org.guavapath.core.weights.TargetWeights

/** This VM's view of the fleet. Confined to the event loop. */
internal class FleetState(
    domain: FailureDomainName,
    startedAt: MonotonicTime,
    isFirstStart: Boolean,
    val replacedWeights: ReplacedWeightsPolicy = ReplacedWeightsPolicy(),
) {
    val replicas = ReplicaRegistry()
    val directory = PromptDirectory()
    val weights = TargetWeights(areKnown = false)
    val quarantine = CrashQuarantine()
    val rates = NamedRates()
    val quota = FleetQuota(startedAt, isFirstStart)
    val stalls = StallDetector()
    val placement = Placement(domain, replicas, directory, weights, replacedWeights, startedAt)
}
