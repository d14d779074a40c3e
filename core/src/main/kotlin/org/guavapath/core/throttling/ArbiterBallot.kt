package org.guavapath.core.throttling

import org.guavapath.core.identity.VmId

/**
 * The VMs among which a VM chooses the arbiter of each replica.
 *
 * @property candidates VMs that the voter hears from, and itself
 * @property vms number of VMs that ask for permits through the voter, itself included
 * @throws IllegalArgumentException if [vms] is below 1
 */
public data class ArbiterBallot(public val candidates: Set<VmId>, public val vms: Int) {
    init {
        require(vms >= 1) { "vms is $vms" }
    }
}
