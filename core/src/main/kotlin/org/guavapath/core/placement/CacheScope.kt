package org.guavapath.core.placement

import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.identity.ModelName
import org.guavapath.core.identity.WeightsVersion
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.routing.CacheSalt

/** Stands for all workspaces that share cached parts; no workspace has an empty name. */
private val EVERYBODY = WorkspaceName("")

/** Returns the salt for parts of [owner], null for shared parts, that are read with [number] of [model]. */
public fun cacheSalt(owner: WorkspaceName?, model: ModelName, number: WeightsNumber?): CacheSalt =
    CacheSalt.of(owner ?: EVERYBODY, model, WeightsVersion(number?.toString().orEmpty()))
