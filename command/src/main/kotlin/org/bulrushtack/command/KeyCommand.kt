package org.bulrushtack.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.optional
import org.bulrushtack.program.ProgramCommand
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64

/** Generates a key or hashes a given one; the settings tree stores only the hash. */
@OptIn(ExperimentalCli::class)
internal class KeyCommand : ProgramCommand(name = "key", description = "generate a key, or hash a given one") {
    private val suppliedKey by argument(ArgType.String, fullName = "KEY", description = "a key to hash").optional()

    override fun run() {
        val key = suppliedKey ?: generate()
        val hash = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
        println("key $key")
        println("hash ${hash.joinToString("") { "%02x".format(it) }}")
    }

    private fun generate(): String {
        val bytes = ByteArray(KEY_BYTES)
        SecureRandom().nextBytes(bytes)
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }
}

private const val KEY_BYTES = 24
