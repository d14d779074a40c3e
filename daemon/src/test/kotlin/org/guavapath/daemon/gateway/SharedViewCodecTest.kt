package org.guavapath.daemon.gateway

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import org.guavapath.core.store.StoreEra
import org.guavapath.daemon.peers.PeerMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

class SharedViewCodecTest {
    /** Guards against an unreadable object in the copy of another gateway that stops a link or an event loop. */
    @Test
    fun unreadableObjectsOfACopyHideNoOthers() {
        val cases = listOf(
            "nested arrays" to "[".repeat(100_000) + "]".repeat(100_000),
            "many elements" to List(500_000) { "0" }.joinToString(",", "[", "]"),
            "half of an object" to "{\"a\":",
            "nothing" to "",
        )
        cases.forEach { (name, json) ->
            val objects = mapOf("other" to json, "z" to "\"sound\"").mapValues { PeerMessage.SharedObject(3, it.value) }
            val listing = SharedViewCodec.decode(PeerMessage.ViewContent("kind", 7, objects), StoreEra(1))
            assertEquals(JsonNull, listing.objects["other"]?.value, name)
            assertNotNull(listing.objects["other"]?.fault, name)
            assertEquals(JsonPrimitive("sound"), listing.objects["z"]?.value, name)
        }
    }
}
