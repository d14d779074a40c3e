/**
 * Which VMs of a fleet keep links with each other.
 *
 * In a small fleet all VMs dial all. In a large one each failure domain has hubs: a VM dials the hubs of its own
 * domain, hubs dial all other hubs. The number of links on a VM then grows with the size of a domain at most, and
 * what crosses domains with the number of domains.
 */
package org.guavapath.core.topology

import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.VmId

/**
 * What decides the place of a VM.
 *
 * @property domain its failure domain
 * @property processors cores that it may use; hubs are VMs with many, as they work for others
 */
public data class LinkSite(public val domain: FailureDomainName, public val processors: Double)

/** The part of one VM in the exchange between VMs. */
public sealed class LinkRole {
    /** Linked with all others; each tells of itself alone. */
    public data object Equal : LinkRole()

    /** Passes on what the members of its domain tell to the other hubs, and what those tell to its members. */
    public data object Hub : LinkRole()

    /** Tells one hub of its domain and hears all else from it. */
    public data object Member : LinkRole()
}

/**
 * The links of one VM.
 *
 * @property role its part in the exchange
 * @property hubs VMs to dial: all others in a small fleet, the other hubs for a hub; for a
 *   member the hubs of its domain, the preferred one first
 * @property members VMs that dial this one if it is a hub, empty for all others
 */
public data class LinkPlan(
    public val role: LinkRole,
    public val hubs: List<VmId>,
    public val members: Set<VmId>,
) {
    /** All VMs that a link should stand with. */
    public val linked: Set<VmId> get() = hubs.toSet() + members

    /** Makes plans. */
    public companion object {
        /** Links with all others cost such a fleet less than the detour over hubs. */
        private const val LARGEST_MESH = 16

        /** The second takes over when the first is gone. */
        private const val HUBS = 2

        /**
         * Returns the links of [self] in a fleet.
         *
         * @param sites all VMs, [self] included
         * @param unreachable VMs that [self] has tried to reach in vain; they are no hubs for it
         * @throws IllegalArgumentException if [self] is not in the fleet
         */
        public fun of(self: VmId, sites: Map<VmId, LinkSite>, unreachable: Set<VmId>): LinkPlan {
            val own = requireNotNull(sites[self]) { "$self is none of the ${sites.size} VMs" }
            return if (sites.size <= LARGEST_MESH) {
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

        /** The first reachable VMs; those before them stay linked, so that they come back into their place. */
        private fun hubs(ranked: List<VmId>, unreachable: Set<VmId>): List<VmId> {
            val last = ranked.filter { it !in unreachable }.take(HUBS).lastOrNull() ?: return ranked.take(HUBS)
            return ranked.take(ranked.indexOf(last) + 1)
        }
    }
}
