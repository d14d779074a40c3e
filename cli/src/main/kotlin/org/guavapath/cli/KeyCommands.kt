/** The commands `guavapath key ...`. A key itself is printed once, by `key new`, and never stored. */
package org.guavapath.cli

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.required
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.guavapath.core.config.AcceptedChange
import org.guavapath.core.config.CallerKey
import org.guavapath.core.config.StoredDocument
import org.guavapath.core.identity.KeyGenerator
import org.guavapath.core.identity.KeyHash
import org.guavapath.core.identity.WorkspaceName

/** A generated key and its hash; output of `key new`. */
@Serializable
internal data class NewKey(val key: String, val hash: String)

/** Generates a key and, given a workspace, grants it. */
@OptIn(ExperimentalCli::class)
internal class KeyNew :
    PlatformCommand("new", "Make a key; with --workspace and --name it is granted at once.", "key new") {
    private val workspace by option(ArgType.String, "workspace", description = "Workspace to grant the key to")
    private val keyName by option(ArgType.String, "name", description = "Name of the granted key")

    override suspend fun run() {
        val key = KeyGenerator.newKey()
        val hash = KeyHash.of(key)
        val workspaceName = workspace
        if (workspaceName != null) {
            val name = keyName ?: throw CommandFailure(ExitStatus.USAGE, "--workspace needs --name")
            grant(store, CallerKey(name, WorkspaceName(workspaceName), hash))
        }
        output.show(NewKey(key, hash.hexadecimal), NewKey.serializer()) { listOf("key  $key", "hash $hash") }
    }
}

/** Grants a key by its hash. */
@OptIn(ExperimentalCli::class)
internal class KeyGrant :
    PlatformCommand("grant", "Grant a key by its hash.", "key grant --workspace appraisal --name counter-1 HASH") {
    private val workspace by option(ArgType.String, "workspace", description = "Workspace of the key").required()
    private val keyName by option(ArgType.String, "name", description = "Name of the key").required()
    private val hash by argument(ArgType.String, description = "Hash as printed by key new")

    override suspend fun run() {
        if (!KeyHash.isValid(hash)) throw CommandFailure(ExitStatus.INVALID, "$hash is not a hash")
        val change = grant(store, CallerKey(keyName, WorkspaceName(workspace), KeyHash(hash)))
        output.show(change, AcceptedChange.serializer()) { listOf("version ${change.version} accepted") }
    }
}

/** Withdraws a key permanently. */
@OptIn(ExperimentalCli::class)
internal class KeyWithdraw : PlatformCommand(
    "withdraw",
    "Withdraw a key for good, by its name or hash; a later apply does not bring it back.",
    "key withdraw counter-1",
) {
    private val key by argument(ArgType.String, description = "Name or hash of the key")

    override suspend fun run() {
        val stored = store.manifest()
        val document = store.document(stored) ?: throw CommandFailure(ExitStatus.INVALID, "there is no configuration")
        val hashes = (document.folder.keys + document.grantedKeys)
            .filter { it.name == key || it.hash.hexadecimal == key }
            .map { it.hash }
        if (hashes.isEmpty()) throw CommandFailure(ExitStatus.INVALID, "no key is named $key")
        val next = document.copy(withdrawnKeys = document.withdrawnKeys + hashes)
        val change = store.accept(next, stored, "withdraw key $key")
        output.show(change, AcceptedChange.serializer()) { listOf("version ${change.version} accepted") }
    }
}

/** Lists the keys in force. */
internal class KeyList : PlatformCommand("list", "List the keys in force, by their hashes.", "key list") {
    override suspend fun run() {
        val keys = store.document(store.manifest())?.effective()?.keys.orEmpty()
        output.show(keys, ListSerializer(CallerKey.serializer())) {
            keys.map { "${it.name} ${it.workspace} ${it.hash}" }
        }
    }
}

private suspend fun grant(store: ConfigurationStore, key: CallerKey): AcceptedChange {
    val stored = store.manifest()
    val document = store.document(stored) ?: throw CommandFailure(ExitStatus.INVALID, "there is no configuration")
    checkGrant(document, key)
    val next = document.copy(grantedKeys = document.grantedKeys + key)
    return store.accept(next, stored, "grant key ${key.name} to ${key.workspace}")
}

private fun checkGrant(document: StoredDocument, key: CallerKey) {
    val keys = document.folder.keys + document.grantedKeys
    val problem = when {
        document.folder.workspaces.none { it.name == key.workspace } -> "no workspace is named ${key.workspace}"
        key.hash in document.withdrawnKeys -> "the key was withdrawn and cannot be granted again"
        keys.any { it.name == key.name } -> "a key is named ${key.name} already"
        else -> null
    }
    if (problem != null) throw CommandFailure(ExitStatus.INVALID, problem)
}
