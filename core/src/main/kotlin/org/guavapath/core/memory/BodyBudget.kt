/** The memory of a process that bodies of requests may take, and who gets it when it is scarce. */
package org.guavapath.core.memory

/** Answer to a [BodyReservation] that asks for more bytes. */
public sealed class Room {
    /** The bytes are reserved. */
    public data object Granted : Room()

    /** The bytes are not there yet; the reservation is told when they are reserved. */
    public data object Awaited : Room()

    /** The bytes cannot be had, or too many others wait for theirs. */
    public data object Refused : Room()
}

/**
 * The bytes of bodies that a process holds at once. Not thread-safe.
 *
 * Small bodies may take all of it, large ones leave them a reserve, and those of one connection take at most a share.
 * Who waits is served in the order of asking, but bodies that are partly held come first.
 *
 * @property bytes the limit
 */
public class BodyBudget(public val bytes: Long) {
    private val largeLimit = bytes - bytes / RESERVE_SHARE
    private val connectionLimit = largeLimit / CONNECTION_SHARE
    private val waiting = ArrayDeque<BodyReservation>()

    init {
        require(bytes > 0) { "a budget of $bytes bytes" }
    }

    /** Bytes that are reserved. */
    public var held: Long = 0
        private set

    /** How often a body had to wait, since the start. */
    public var waits: Long = 0
        private set

    /** How often bytes were refused, or not had in time, since the start. */
    public var refusals: Long = 0
        private set

    /** Number of bodies that wait. */
    public val waitingBodies: Int get() = waiting.size

    /** Opens an account for the bodies of one connection. */
    public fun openAccount(): BodyAccount = BodyAccount(this)

    internal fun ask(reservation: BodyReservation): Room {
        val isLarge = reservation.isLarge
        val isTooLarge = isLarge && reservation.wanted > connectionLimit
        val mayOvertake = !isLarge || reservation.held > 0 || waiting.none { it.isLarge && !it.isHeldUpByOwn }
        return when {
            mayOvertake && fits(reservation) -> Room.Granted.also { grant(reservation) }
            isTooLarge || waiting.sumOf { it.missing } + reservation.missing > bytes -> {
                refusals += 1
                Room.Refused
            }
            else -> {
                waits += 1
                if (reservation.held > 0) waiting.addFirst(reservation) else waiting.addLast(reservation)
                Room.Awaited
            }
        }
    }

    internal fun notInTime(reservation: BodyReservation) {
        refusals += 1
        leave(reservation)
    }

    internal fun leave(reservation: BodyReservation) {
        if (waiting.remove(reservation)) grantWaiting()
    }

    internal fun giveBack(count: Long) {
        held -= count
        check(held >= 0) { "$held bytes are held" }
        grantWaiting()
    }

    internal fun isHeldUpByOwn(reservation: BodyReservation): Boolean =
        reservation.isLarge && reservation.account.held + reservation.missing > connectionLimit

    private fun fits(reservation: BodyReservation): Boolean {
        val limit = if (reservation.isLarge) largeLimit else bytes
        return held + reservation.missing <= limit && !isHeldUpByOwn(reservation)
    }

    private fun grant(reservation: BodyReservation) {
        held += reservation.missing
        reservation.granted()
    }

    private fun grantWaiting() {
        if (waiting.isEmpty()) return
        val granted = ArrayList<BodyReservation>()
        var isLargeHeldUp = false
        for (next in waiting.toList()) {
            if (fits(next) && !(next.isLarge && isLargeHeldUp)) {
                waiting.remove(next)
                grant(next)
                granted += next
            } else if (next.isLarge && !next.isHeldUpByOwn) {
                isLargeHeldUp = true
            }
        }
        granted.forEach { it.onGranted() }
    }

    /** Sizes that every budget has. */
    public companion object {
        /** Bodies up to this size may take the reserve. */
        public const val SMALL_BYTES: Long = 65_536

        private const val HEAP_SHARE = 2
        private const val RESERVE_SHARE = 8
        private const val CONNECTION_SHARE = 2

        /** Returns the budget of a process whose heap may grow to [maxHeapBytes]. */
        public fun ofHeap(maxHeapBytes: Long): BodyBudget = BodyBudget(maxHeapBytes / HEAP_SHARE)
    }
}

/** The bodies of one connection. */
public class BodyAccount internal constructor(internal val budget: BodyBudget) {
    private val open = HashSet<BodyReservation>()

    /** Bytes that are reserved. */
    public var held: Long = 0
        internal set

    /** Opens a reservation for one body; [onGranted] is called when bytes that it waited for are reserved. */
    public fun reservation(onGranted: () -> Unit): BodyReservation =
        BodyReservation(this, onGranted).also { open.add(it) }

    /** Gives all bytes back, as the connection has closed. */
    public fun close(): Unit = open.toList().forEach { it.close() }

    internal fun closed(reservation: BodyReservation) {
        open.remove(reservation)
    }
}

/** The bytes that are reserved for one body. */
public class BodyReservation internal constructor(
    internal val account: BodyAccount,
    internal val onGranted: () -> Unit,
) {
    private val budget = account.budget
    private var isClosed = false

    /** Bytes that are reserved. */
    public var held: Long = 0
        private set

    /** Bytes that are reserved or asked for. */
    internal var wanted = 0L
        private set

    internal val missing: Long get() = wanted - held
    internal val isLarge: Boolean get() = wanted > BodyBudget.SMALL_BYTES

    /** Whether it waits until other bodies of its connection have ended. */
    public val isHeldUpByOwn: Boolean get() = budget.isHeldUpByOwn(this)

    /**
     * Asks for [count] more bytes.
     *
     * @throws IllegalStateException if it is closed or already waits
     */
    public fun grow(count: Long): Room {
        require(count > 0) { "grows by $count bytes" }
        check(!isClosed) { "the reservation is closed" }
        check(missing == 0L) { "the reservation waits for $missing bytes" }
        wanted += count
        return budget.ask(this).also { if (it == Room.Refused) wanted = held }
    }

    /** Stops waiting, because what was asked for was not had in time. */
    public fun stopWaiting() {
        if (missing == 0L) return
        budget.notInTime(this)
        wanted = held
    }

    /** Gives the bytes back; later calls do nothing. */
    public fun close() {
        if (isClosed) return
        isClosed = true
        account.closed(this)
        budget.leave(this)
        val given = held
        held = 0
        wanted = 0
        account.held -= given
        budget.giveBack(given)
    }

    internal fun granted() {
        account.held += missing
        held = wanted
    }
}
