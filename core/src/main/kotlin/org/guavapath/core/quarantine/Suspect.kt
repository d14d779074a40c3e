package org.guavapath.core.quarantine

/**
 * What may be the cause of a crash: a part of a prompt, or a whole request.
 *
 * @property bits hash that identifies it among those of its kind
 */
public sealed interface Suspect {
    public val bits: Long
}
