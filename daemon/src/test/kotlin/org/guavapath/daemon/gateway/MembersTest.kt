package org.guavapath.daemon.gateway

import kotlinx.serialization.json.Json
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.store.StoredObject
import org.guavapath.platform.wire.SampleFleet
import kotlin.test.Test
import kotlin.test.assertEquals

class MembersTest {
    private val log = GatewayLog()
    private val store = EraTrackingStore(CountingStore(MemoryStore(SampleFleet("127.0.0.1:1"))), log)

    private fun entry(vm: String) = MemberEntry("$vm:1", FailureDomainName("domain"), 1.0, Incarnation(1))

    private fun objects(vms: List<String>, revision: Revision) = vms.associateWith {
        StoredObject(it, revision, Json.encodeToJsonElement(MemberEntry.serializer(), entry(it)))
    }

    /** Guards against a fleet that counts too few gateways while their entries are written again. */
    @Test
    fun entriesThatAnOlderCopyLacksAreRetained() {
        val first = Revision(20, StoreEra(1))
        val cases = listOf(
            Triple("removed in the same era", Revision(21, StoreEra(1)), setOf("vm-2")),
            Triple("missing in a later era", Revision(15, StoreEra(2)), setOf("vm-2", "vm-3")),
        )
        cases.forEach { (name, revision, expected) ->
            val members = Members(VmId("vm-1"), entry("vm-1"), store, log)
            members.update(objects(listOf("vm-1", "vm-2", "vm-3"), first), first)
            members.update(objects(listOf("vm-1", "vm-2"), revision), revision)
            assertEquals(expected, members.others.keys.map { it.text }.toSet(), name)
        }
    }
}
