/**
 * Link topology of a fleet.
 *
 * A small fleet is a full mesh: all VMs dial each other. In a large one each failure domain has hubs: a VM dials the
 * hubs of its own domain, and hubs dial all other hubs. The number of links per VM then grows at most with the size
 * of a domain and the number of domains, and traffic between domains with the number of domains.
 */
package org.guavapath.core.topology

import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.VmId

/**
 * The properties of a VM that determine its role and links.
 *
 * @property domain its failure domain
 * @property processors cores that it may use; VMs with the most become hubs, as hubs do work for other VMs
 */
public data class LinkSite(public val domain: FailureDomainName, public val processors: Double)

/** Role of a VM in the message exchange between VMs. */
public sealed class LinkRole {
    /** Linked to all other VMs; each publishes only its own state. */
    public data object Equal : LinkRole()

    /** Relays messages of its domain's members to the other hubs, and messages of other hubs to its members. */
    public data object Hub : LinkRole()

    /** Publishes to one hub of its domain and receives everything else from it. */
    public data object Member : LinkRole()
}

/**
 * The links of one VM.
 *
 * @property role its role in the message exchange
 * @property hubs VMs to dial: all others in a small fleet, the other hubs for a hub; for a
 *   member the hubs of its domain, the preferred one first
 * @property members VMs that dial this one as members if it is a hub, empty for all others
 */
public data class LinkPlan(
    public val role: LinkRole,
    public val hubs: List<VmId>,
    public val members: Set<VmId>,
) {
    /** All VMs that this one should be linked to. */
    public val linked: Set<VmId> get() = hubs.toSet() + members

    /** Creates plans. */
    public companion object {
        /** Up to this size, links between all VMs cost less than relaying through hubs. */
        private const val MAX_FULL_MESH_SIZE = 16

        /** The second takes over when the first fails. */
        private const val HUBS_PER_DOMAIN = 2

        /**
         * Returns the links of [self] in a fleet.
         *
         * @param sites all VMs, including [self]
         * @param unreachable VMs that [self] could not reach; it does not rely on them as hubs
         * @throws IllegalArgumentException if [self] is not in the fleet
         */
        public fun of(self: VmId, sites: Map<VmId, LinkSite>, unreachable: Set<VmId>): LinkPlan {
            val own = requireNotNull(sites[self]) { "$self is not among the ${sites.size} VMs of the fleet" }
            return if (sites.size <= MAX_FULL_MESH_SIZE) {
                LinkPlan(LinkRole.Equal, sites.keys.filter { it != self }.sorted(), emptySet())
            } else {
                val ranked = sites.entries.sortedWith(compareBy({ -it.value.processors }, { it.key }))
                withHubs(self, own.domain, ranked.groupBy({ it.value.domain }, { it.key }), unreachable - self)
            }
        }

        private fun withHubs(
            self: VmId,
            own: FailureDomainName,
            byDomain: Map<FailureDomainName, List<VmId>>,
            unreachable: Set<VmId>,
        ): LinkPlan {
            val ownHubs = hubs(byDomain.getValue(own), unreachable)
            if (self !in ownHubs) return LinkPlan(LinkRole.Member, ownHubs, emptySet())
            val all = byDomain.values.flatMap { hubs(it, unreachable) }
            return LinkPlan(LinkRole.Hub, all.filter { it != self }, byDomain.getValue(own).toSet() - all.toSet())
        }

        /** Returns the first reachable VMs and the unreachable ones before them, which stay linked to resume later. */
        private fun hubs(ranked: List<VmId>, unreachable: Set<VmId>): List<VmId> {
            val last = ranked.filter { it !in unreachable }.take(HUBS_PER_DOMAIN).lastOrNull()
                ?: return ranked.take(HUBS_PER_DOMAIN)
            return ranked.take(ranked.indexOf(last) + 1)
        }
    }
}
