package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.FleetService
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.throttling.RequestRate
import org.guavapath.core.throttling.ReturnSchedule
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration

/** When callers may return whose requests the replicas of a service cannot take at the rates that they have named. */
internal class ReturnTimes(private val fleet: FleetState) {
    private val schedules = HashMap<ServiceName, ReturnSchedule>()

    /** Returns the time to return for one more caller of [service]; [vms] gateways share the rates of its replicas. */
    fun next(service: FleetService, vms: Int): Duration {
        val perSecond = fleet.replicas.of(service.name)
            .sumOf { fleet.rates.rate(it.entry.incarnation)?.perSecond ?: 0.0 }
        return schedules.getOrPut(service.name) { ReturnSchedule() }
            .next(RequestRate(perSecond / vms), MonotonicTime.now())
    }
}
