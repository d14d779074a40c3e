/**
 * Ownership of the parts of every workspace's limit.
 *
 * Each limit is divided into [SLOTS_PER_WORKSPACE] equal parts, and each part is assigned to one of [SLOT_COUNT] slots
 * by rendezvous hashing. A slot has at most one owner. The table is a single object at the platform, changed only by
 * conditional updates.
 */
package org.guavapath.core.limits

import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.Serializable
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.identity.WorkspaceName

/** Number of slots in the fleet. */
public const val SLOT_COUNT: Int = 256

/** Number of slots that share one workspace's limit. */
public const val SLOTS_PER_WORKSPACE: Int = 16

/**
 * A VM that participates in the table.
 *
 * @property vm the VM's name
 * @property address the host and port of its peer link
 * @property incarnation the run of its daemon that owns the slots
 */
@Serializable
public data class SlotMember(
    public val vm: VmId,
    public val address: String,
    public val incarnation: Incarnation,
)

/**
 * The owners of all slots.
 *
 * @property members the participating VMs, in order of joining
 * @property owners the owner of each slot, or null if the slot is free
 * @throws IllegalArgumentException if [owners] does not have [SLOT_COUNT] entries
 */
@Serializable
public data class SlotTable(
    public val members: List<SlotMember>,
    public val owners: List<VmId?>,
) {
    init {
        require(owners.size == SLOT_COUNT) { "slot table has ${owners.size} slots, expected $SLOT_COUNT" }
    }

    /** Returns the member named [vm], or null. */
    public fun member(vm: VmId): SlotMember? = members.firstOrNull { it.vm == vm }

    /** Returns the slots that [vm] owns. */
    public fun slotsOf(vm: VmId): Set<Int> = owners.indices.filter { owners[it] == vm }.toSet()

    /** Returns the slots without an owner. */
    public fun freeSlots(): List<Int> = owners.indices.filter { owners[it] == null }

    /** Returns the table with [member] added, replacing the member with the same name if there is one. */
    public fun withMember(member: SlotMember): SlotTable =
        copy(members = members.filter { it.vm != member.vm } + member)

    /** Returns the table without [vm], whose slots become free. */
    public fun withoutMember(vm: VmId): SlotTable = SlotTable(
        members = members.filter { it.vm != vm },
        owners = owners.map { owner -> owner.takeIf { it != vm } },
    )

    /** Returns the table with [slots] owned by [owner], or free if [owner] is null. */
    public fun withOwner(slots: Iterable<Int>, owner: VmId?): SlotTable {
        val changed = owners.toMutableList()
        slots.forEach { changed[it] = owner }
        return copy(owners = changed)
    }

    /** Holds the empty table and assigns workspaces to slots. */
    public companion object {
        /** The table without members. */
        public val EMPTY: SlotTable = SlotTable(emptyList(), List(SLOT_COUNT) { null })

        /** Returns the slots that share the limit of [workspace]; the same on every VM. */
        public fun slotsFor(workspace: WorkspaceName): List<Int> {
            val hasher = Hashing.xxh3_64()
            val workspaceHash = hasher.hashCharsToLong(workspace.text)
            return (0 until SLOT_COUNT)
                .sortedBy { hasher.hashLongLongToLong(workspaceHash, it.toLong()) }
                .take(SLOTS_PER_WORKSPACE)
        }
    }
}
