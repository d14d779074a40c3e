package org.guavapath.core.config

import org.guavapath.core.schema.Schema
import org.guavapath.core.schema.record

private const val MAX_TOKENS = 1_000_000_000L
private const val MAX_BYTES_PER_TOKEN = 64L
private const val MAX_PIECE_TOKENS = 65_536L

private val name = Schema.Text(Regex("[a-z0-9][a-z0-9._-]{0,62}"), "1 to 63 of a-z, 0-9, '.', '_' and '-'")
private val names = Schema.ListOf(name)
private val path = Schema.Text(Regex("/[A-Za-z0-9._~/-]{0,254}"), "a path that starts with /")
private val url = Schema.Text(Regex("https?://[A-Za-z0-9.\\[\\]:-]+"), "an address as http://HOST:PORT")
private val hash = Schema.Text(Regex("[0-9a-f]{64}"), "64 hexadecimal digits, as printed by guavapath key new")
private val positiveTokens = Schema.WholeNumber(1, MAX_TOKENS)

private val failureDomain = record {
    required("name", name)
}

private val workspace = record {
    required("name", name)
    required("rate", positiveTokens)
    required("burst", positiveTokens)
}

private val key = record {
    required("name", name)
    required("workspace", name)
    required("hash", hash)
}

private val model = record {
    required("name", name)
    required("version", name)
    optional("bytesPerToken", Schema.WholeNumber(1, MAX_BYTES_PER_TOKEN))
    optional("largestOutput", positiveTokens)
    optional("pieceTokens", Schema.WholeNumber(1, MAX_PIECE_TOKENS))
}

private val endpoint = record {
    required("name", name)
    required("kind", Schema.Choice(listOf("engine", "service", "cache-store")))
    required("url", url)
    required("failureDomain", name)
    optional("models", names)
    optional("draining", Schema.BooleanValue)
}

private val route = record {
    required("name", name)
    required("path", path)
    optional("access", Schema.Choice(listOf("open", "keyed")))
    required("repeatable", Schema.BooleanValue)
    optional("priority", Schema.Choice(listOf("interactive", "standard", "batch")))
    optional("models", names)
    optional("endpoints", names)
    optional("workspaces", names)
    optional("tokens", Schema.WholeNumber(0, MAX_TOKENS))
}

/** Schema of a merged configuration document. */
internal val configurationSchema: Schema.Record = record {
    optional("failureDomains", Schema.NamedList(failureDomain))
    optional("workspaces", Schema.NamedList(workspace))
    optional("keys", Schema.NamedList(key))
    optional("models", Schema.NamedList(model))
    optional("endpoints", Schema.NamedList(endpoint))
    optional("routes", Schema.NamedList(route))
}
