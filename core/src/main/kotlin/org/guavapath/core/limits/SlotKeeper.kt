package org.guavapath.core.limits

import org.guavapath.core.identity.VmId
import org.guavapath.core.platform.ObjectVersion
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Time for which a VM must be absent from the platform's list before its slots are reclaimed. */
public val VM_ABSENCE_TIMEOUT: Duration = 60.seconds

/** A VM that was paused for longer than this must confirm its slots before it uses them again. */
public val MAX_PAUSE: Duration = 5.seconds

/**
 * A conditional update of the slot table.
 *
 * @property table the whole new table
 * @property condition the version that the stored table must have
 */
public data class SlotTableChange(public val table: SlotTable, public val condition: ObjectVersion)

/**
 * Manages one VM's slots: joins the table, releases slots above the VM's fair share and claims free ones.
 *
 * Only the owner releases its slots, and it stops using them before it writes the release. A slot is used only if the
 * table names this VM and this incarnation. The slots of a dead VM are reclaimed only after it has been absent from the
 * platform's list of VMs for [VM_ABSENCE_TIMEOUT]; the list is assumed to drop only VMs that do not run, or that stay
 * paused for longer than [MAX_PAUSE].
 */
public class SlotKeeper(private val self: SlotMember) {
    private var table = SlotTable.EMPTY
    private var version = ObjectVersion.ABSENT
    private var isObserved = false
    private var isConfirmed = true
    private var isLeaving = false
    private val releasing = mutableMapOf<Int, ObjectVersion>()
    private val absentSince = mutableMapOf<VmId, MonotonicTime>()

    /** The table as last observed. */
    public val currentTable: SlotTable get() = table

    /** The version of the table as last observed, or null before the first observation. */
    public val currentVersion: ObjectVersion? get() = version.takeIf { isObserved }

    /** Returns the slots that this VM may use now. */
    public fun usableSlots(): Set<Int> {
        if (!isConfirmed || isLeaving || table.member(self.vm) != self) return emptySet()
        return table.slotsOf(self.vm) - releasing.keys
    }

    /**
     * Records the table at [observedVersion]; versions older than the current one are ignored.
     *
     * @param isAfterPause whether the read was started after the latest pause of this VM ended
     */
    public fun observe(observedTable: SlotTable, observedVersion: ObjectVersion, isAfterPause: Boolean) {
        if (isObserved && observedVersion < version) return
        isObserved = true
        table = observedTable
        version = observedVersion
        if (isAfterPause) isConfirmed = true
        releasing.entries.removeIf { it.value < observedVersion }
    }

    /** Handles a pause of this VM, during which its slots may have been reclaimed. */
    public fun onPause() {
        isConfirmed = false
        absentSince.clear()
    }

    /** Stops using all slots; the next planned change removes this VM from the table. */
    public fun leave() {
        isLeaving = true
    }

    /** Records the platform's list of VMs. */
    public fun observeVms(listed: Set<VmId>, now: MonotonicTime) {
        val absent = table.members.map { it.vm }.filter { it != self.vm && it !in listed }
        absentSince.keys.retainAll(absent.toSet())
        absent.forEach { absentSince.putIfAbsent(it, now) }
    }

    /** Returns the next change of the table, or null if none is due. Slots that it releases become unusable at once. */
    public fun planChange(now: MonotonicTime): SlotTableChange? {
        if (!isObserved) return null
        val next = if (isLeaving) table.withoutMember(self.vm) else planUpdate(now)
        return SlotTableChange(next, version).takeIf { next != table }
    }

    private fun planUpdate(now: MonotonicTime): SlotTable {
        val withoutDead = table.members
            .filter { isPresumedDead(it.vm, now) }
            .fold(table) { left, dead -> left.withoutMember(dead.vm) }
        val present = withoutDead.member(self.vm)
        return when {
            present == null -> withoutDead.withMember(self)
            present == self -> balance(withoutDead)
            present.address == self.address && present.incarnation < self.incarnation -> withoutDead.withMember(self)
            else -> withoutDead
        }
    }

    private fun isPresumedDead(vm: VmId, now: MonotonicTime): Boolean {
        val since = absentSince[vm] ?: return false
        return now - since > VM_ABSENCE_TIMEOUT
    }

    private fun balance(current: SlotTable): SlotTable {
        val owned = current.slotsOf(self.vm)
        val maximum = (SLOT_COUNT + current.members.size - 1) / current.members.size
        val minimum = SLOT_COUNT / current.members.size
        return when {
            owned.size > maximum -> release(current, owned.sorted().drop(maximum))
            owned.size < minimum -> current.withOwner(current.freeSlots().take(minimum - owned.size), self.vm)
            else -> current
        }
    }

    private fun release(current: SlotTable, slots: List<Int>): SlotTable {
        slots.forEach { releasing[it] = version }
        return current.withOwner(slots, null)
    }
}
