package org.bulrushtack.daemon.front

import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.core.settings.SettingsTree
import org.bulrushtack.http.HttpMessageRequest
import java.security.MessageDigest

/** Finds out whose key a request bears; keys are known only by their hashes. */
internal class Authenticator(
    private val bootstrapKeyHash: String,
) {
    /** The workspace whose key the request bears, or null. */
    fun workspace(request: HttpMessageRequest, tree: SettingsTree): String? =
        owner(request = request, tree = tree, branch = SettingsSchema.WORKSPACES)

    /** The operator whose key the request bears, or null. */
    fun operator(request: HttpMessageRequest, tree: SettingsTree): String? {
        val named = owner(request = request, tree = tree, branch = SettingsSchema.OPERATORS)
        return named ?: BOOTSTRAP_NAME.takeIf { isBootstrap(request = request, tree = tree) }
    }

    private fun owner(request: HttpMessageRequest, tree: SettingsTree, branch: String): String? {
        val path = keyHash(request)?.let { tree.branchOfKeyHash(it) } ?: return null
        return if (path.segments.first() == branch) path.segments.drop(1).joinToString("/") else null
    }

    /** The key from the settings file counts only until the tree names an operator. */
    private fun isBootstrap(request: HttpMessageRequest, tree: SettingsTree): Boolean {
        val operators = tree.children(SettingsPath.ROOT.child(SettingsSchema.OPERATORS))
        return bootstrapKeyHash.isNotEmpty() && operators.isEmpty() && keyHash(request) == bootstrapKeyHash
    }

    private fun keyHash(request: HttpMessageRequest): String? {
        val value = request.headers.find("authorization") ?: return null
        val key = value.removePrefix(SCHEME).trim()
        return if (value.startsWith(SCHEME) && key.isNotEmpty()) hash(key) else null
    }

    companion object {
        /** The SHA-256 hash of [key] in hexadecimal digits. */
        fun hash(key: String): String = hash(key.toByteArray())

        /** The SHA-256 hash of [bytes] in hexadecimal digits. */
        fun hash(bytes: ByteArray): String =
            MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }
    }
}

private const val SCHEME = "Bearer "
private const val BOOTSTRAP_NAME = "bootstrap"
