package org.bulrushtack.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.optional
import org.bulrushtack.program.ProgramCommand
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64

/** Makes a key, or hashes one; the tree holds the hash alone. */
@OptIn(ExperimentalCli::class)
internal class KeyCommand : ProgramCommand(name = "key", description = "make a key, or hash one") {
    private val given by argument(ArgType.String, fullName = "KEY", description = "a key to hash").optional()

    override fun run() {
        val key = given ?: make()
        val hash = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
        println("key $key")
        println("hash ${hash.joinToString("") { "%02x".format(it) }}")
    }

    private fun make(): String {
        val bytes = ByteArray(KEY_BYTES)
        SecureRandom().nextBytes(bytes)
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }
}

private const val KEY_BYTES = 24
