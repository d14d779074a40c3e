package org.guavapath.core.quota

import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName

/** Tokens admitted by other VMs, as relayed by a hub. Sums are never reset, so that reports stay running totals. */
internal class RelayedUsage {
    private val memberTotals = HashMap<WorkspaceName, Long>()
    private val otherTotals = HashMap<WorkspaceName, Long>()
    private val totalsByMember = HashMap<VmId, HashMap<WorkspaceName, Long>>()

    /** Adds [tokens] admitted by [member], or by a VM that is no member of this hub if it is null. */
    fun add(member: VmId?, workspace: WorkspaceName, tokens: Long) {
        (if (member == null) otherTotals else memberTotals).merge(workspace, tokens, Long::plus)
        if (member != null) totalsByMember.getOrPut(member) { HashMap() }.merge(workspace, tokens, Long::plus)
    }

    /** Returns the tokens admitted by all members of this hub. */
    fun fromMembers(workspace: WorkspaceName): Long = memberTotals[workspace] ?: 0

    /** Returns the tokens admitted by all other VMs. */
    fun total(workspace: WorkspaceName): Long = fromMembers(workspace) + (otherTotals[workspace] ?: 0)

    /** Returns the tokens admitted by all other VMs except [member]. */
    fun totalExcept(member: VmId, workspace: WorkspaceName): Long =
        total(workspace) - (totalsByMember[member]?.get(workspace) ?: 0)
}
