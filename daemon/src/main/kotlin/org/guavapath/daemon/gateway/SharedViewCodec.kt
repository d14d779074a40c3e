package org.guavapath.daemon.gateway

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonNull
import org.guavapath.core.store.Change
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.store.StoredObject
import org.guavapath.core.store.WatchResult
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.platform.store.StoredContent

/** Encodes and decodes copies of the store's objects, and their changes, in messages between gateways. */
internal object SharedViewCodec {
    /** Encodes the whole copy of [view]. */
    fun encode(view: StoreView): PeerMessage = PeerMessage.OfEra(
        view.asOf.era.number,
        PeerMessage.ViewContent(view.kind.text, view.asOf.number, view.objects.mapValues { encode(it.value) }),
    )

    /** Encodes the changes of [kind] after the revision [after]. */
    fun encode(kind: ObjectKind, after: Revision, result: WatchResult.Changes): PeerMessage {
        val changes = result.changes.map { change ->
            PeerMessage.SharedChange(change.name, change.revision.number, change.present?.let { encode(it) })
        }
        val message = PeerMessage.ViewChanged(kind.text, after.number, result.asOf.number, changes)
        return PeerMessage.OfEra(result.asOf.era.number, message)
    }

    /** Encodes one object. */
    fun encode(stored: StoredObject) = PeerMessage.SharedObject(stored.revision.number, stored.value.toString())

    /** Decodes a whole copy, read in [era]. */
    fun decode(content: PeerMessage.ViewContent, era: StoreEra): Listing =
        Listing(
            content.objects.mapValues { (name, shared) -> decode(ObjectKind(content.kind), name, shared, era) },
            Revision(content.asOf, era),
        )

    /** Decodes changes, read in [era]. */
    fun decode(message: PeerMessage.ViewChanged, era: StoreEra): WatchResult.Changes {
        val changes = message.changes.map { change ->
            val revision = Revision(change.revision, era)
            Change(
                change.name,
                revision,
                change.present?.let { decode(ObjectKind(message.kind), change.name, it, era) }
            )
        }
        return WatchResult.Changes(changes, Revision(message.asOf, era))
    }

    /** Decodes the object [name] of [kind], read in [era]. */
    fun decode(kind: ObjectKind, name: String, shared: PeerMessage.SharedObject, era: StoreEra): StoredObject {
        val content = StoredContent.parse(kind, name, shared.json)
        return StoredObject(
            name,
            Revision(shared.revision, era),
            content.getOrElse { JsonNull },
            fault = content.getError(),
        )
    }
}
