package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Result
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.WatchResult
import org.guavapath.platform.wire.StoreKinds
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration

/** One gateway's access to [memory]. It can stall the gateway's event loop, on which the store is called. */
internal class StallingStore(
    private val memory: MemoryStore,
    private val store: ObjectStore = CountingStore(memory),
) : ObjectStore by store {
    @Volatile
    private var stall: Stall? = null
    private var changes = 0

    private class Stall {
        val begun = CountDownLatch(1)
        val ended = CountDownLatch(1)
    }

    /** Calls [action] while the event loop does not run. */
    fun whileStalled(action: () -> Unit) {
        val next = Stall()
        stall = next
        changes += 1
        memory.write(KIND, "change-$changes", null)
        next.begun.await()
        try {
            action()
        } finally {
            next.ended.countDown()
        }
    }

    override suspend fun watch(
        kind: ObjectKind,
        after: Revision,
        timeout: Duration,
    ): Result<WatchResult, StoreError> {
        if (kind == KIND) {
            stall?.let {
                stall = null
                it.begun.countDown()
                it.ended.await()
            }
        }
        return store.watch(kind, after, timeout)
    }

    private companion object {
        val KIND = StoreKinds.WEIGHTS
    }
}
