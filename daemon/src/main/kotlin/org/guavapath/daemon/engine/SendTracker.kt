package org.guavapath.daemon.engine

import okhttp3.Call
import okhttp3.EventListener

/** Tracks whether any part of a request may have left this VM. */
internal class SendTracker {
    @Volatile
    var isStarted = false
        private set

    /** Marks the tracker attached to a call just before the first byte of its request is written. */
    object Listener : EventListener() {
        override fun requestHeadersStart(call: Call) {
            call.request().tag(SendTracker::class.java)?.isStarted = true
        }
    }
}
