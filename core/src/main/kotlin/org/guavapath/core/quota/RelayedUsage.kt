package org.guavapath.core.quota

import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName

/** Tokens that other VMs admitted, as a hub passes them on; sums never forget, so that reports stay running totals. */
internal class RelayedUsage {
    private val byMembers = HashMap<WorkspaceName, Long>()
    private val byOthers = HashMap<WorkspaceName, Long>()
    private val byMember = HashMap<VmId, HashMap<WorkspaceName, Long>>()

    /** Counts [tokens] that [member] admitted, or another VM if it is null. */
    fun count(member: VmId?, workspace: WorkspaceName, tokens: Long) {
        (if (member == null) byOthers else byMembers).merge(workspace, tokens, Long::plus)
        if (member != null) byMember.getOrPut(member) { HashMap() }.merge(workspace, tokens, Long::plus)
    }

    /** Returns what all members admitted. */
    fun ofMembers(workspace: WorkspaceName): Long = byMembers[workspace] ?: 0

    /** Returns what all others admitted. */
    fun all(workspace: WorkspaceName): Long = ofMembers(workspace) + (byOthers[workspace] ?: 0)

    /** Returns what all others but [member] admitted. */
    fun allBut(member: VmId, workspace: WorkspaceName): Long =
        all(workspace) - (byMember[member]?.get(workspace) ?: 0)
}
