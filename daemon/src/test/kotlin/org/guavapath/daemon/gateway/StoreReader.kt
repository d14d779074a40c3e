/** A program that follows the store with as much memory as a gateway, until a configuration is in force. */
package org.guavapath.daemon.gateway

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.store.ObjectStoreClient
import org.guavapath.platform.wire.StoreKinds
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds

/** Follows the store at the address `arguments[0]` until the configuration has the version `arguments[1]`. */
public fun main(arguments: Array<String>): Unit = runBlocking {
    val log = GatewayLog()
    val store = EraTrackingStore(ObjectStoreClient(arguments[0]), log)
    val fleet = FleetState(FailureDomainName("domain"), MonotonicTime.now(), isFirstStart = true)
    val operator = OperatorState(fleet, store, log)
    val configurations = StoreView(StoreKinds.CONFIGURATIONS, store, log) { operator.updateConfiguration(it) }
    val replicas = StoreView(StoreKinds.REPLICAS, store, log) { }
    coroutineScope {
        listOf(configurations, replicas).forEach { launch { it.follow() } }
        while ((operator.configuration?.version?.number ?: 0) < arguments[1].toLong()) delay(20.milliseconds)
        println("replicas: ${replicas.objects.values.count { it.fault == null }} of ${replicas.objects.size}")
        exitProcess(0)
    }
}
