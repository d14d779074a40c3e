package org.guavapath.daemon.pipeline

import java.io.IOException

/** Signals that the caller's connection failed while the response was written. */
internal class CallerDisconnectedException(cause: IOException) : IOException("the caller disconnected", cause)
