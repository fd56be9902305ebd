package org.bulrushtack.daemon.front

import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.core.settings.SettingsTree
import org.bulrushtack.http.HttpMessageRequest
import java.security.MessageDigest

/** Identifies the holder of the API key in a request; only the hashes of keys are stored. */
internal class Authenticator(
    private val bootstrapKeyHash: String,
) {
    /** The workspace whose key the request carries, or null. */
    fun authenticateWorkspace(request: HttpMessageRequest, tree: SettingsTree): String? =
        keyHolder(request = request, tree = tree, branch = SettingsSchema.WORKSPACES)

    /** The operator whose key the request carries, or null. */
    fun authenticateOperator(request: HttpMessageRequest, tree: SettingsTree): String? {
        val operator = keyHolder(request = request, tree = tree, branch = SettingsSchema.OPERATORS)
        return operator ?: BOOTSTRAP_NAME.takeIf { isBootstrapKey(request = request, tree = tree) }
    }

    private fun keyHolder(request: HttpMessageRequest, tree: SettingsTree, branch: String): String? {
        val path = keyHash(request)?.let { tree.branchOfKeyHash(it) } ?: return null
        return if (path.segments.first() == branch) path.segments.drop(1).joinToString("/") else null
    }

    /** The bootstrap key of the settings file is valid only while the settings tree has no operator. */
    private fun isBootstrapKey(request: HttpMessageRequest, tree: SettingsTree): Boolean {
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
