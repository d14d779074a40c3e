package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.FleetService
import org.guavapath.core.fleet.ServiceName
import org.guavapath.core.throttling.RequestRate
import org.guavapath.core.throttling.ReturnSchedule
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration

/** When callers may return whose requests the replicas of a service do not take now. */
internal class ReturnTimes(private val fleet: FleetState) {
    private val schedules = HashMap<ServiceName, ReturnSchedule>()

    /**
     * Returns the time to return for one more caller of [service], whose replicas take no more than the rates that they
     * have named; [vms] gateways share these.
     */
    fun next(service: FleetService, vms: Int): Duration {
        val perSecond = replicas(service).sumOf { fleet.rates.rate(it.entry.incarnation)?.perSecond ?: 0.0 }
        return schedule(service).next(RequestRate(perSecond / vms), MonotonicTime.now())
    }

    /** Returns the time to return for one more caller of [service], whose replicas take nothing until [pauseEnd]. */
    fun afterPause(service: FleetService, vms: Int, pauseEnd: MonotonicTime): Duration {
        val perSecond = replicas(service).sumOf { it.entry.slots } * REQUESTS_PER_SLOT_AND_SECOND
        return pauseEnd - MonotonicTime.now() + schedule(service).next(RequestRate(perSecond / vms), pauseEnd)
    }

    private fun replicas(service: FleetService) = fleet.replicas.of(service.name).filter { !it.isWithdrawn }

    private fun schedule(service: FleetService) = schedules.getOrPut(service.name) { ReturnSchedule() }

    private companion object {
        /** A request holds its slot for a few hundred milliseconds. */
        const val REQUESTS_PER_SLOT_AND_SECOND = 4.0
    }
}
