package org.bulrushtack.forward.quarantine

import org.bulrushtack.core.fleet.ServerLifetime
import org.bulrushtack.core.store.StoreRecord
import java.security.MessageDigest
import java.util.HexFormat

/** A record of the topic that daemons share their observations of crashes in. */
internal sealed interface CrashRecord {
    val key: String
    val value: ByteArray

    /** The process that wrote the record. */
    val writerId: String

    /**
     * The process [writerId] saw the lifetime [lifetimeId] of a server end under a request with [suspects]: parts on
     * which it knows no recent answer.
     */
    data class Crash(
        val lifetimeId: String,
        override val writerId: String,
        val suspects: Set<String>,
    ) : CrashRecord {
        override val key: String get() = "$CRASH_PREFIX$lifetimeId$SEPARATOR$writerId"
        override val value: ByteArray get() = suspects.joinToString("\n").encodeToByteArray()
    }

    /** The process [writerId] saw a server answer a request with [part]. */
    data class Answer(
        val part: String,
        override val writerId: String,
    ) : CrashRecord {
        override val key: String get() = "$ANSWER_PREFIX$part"
        override val value: ByteArray get() = writerId.encodeToByteArray()
    }

    companion object {
        /** The id by which records name [lifetime]; a digest if it is too long for a key. */
        fun lifetimeId(lifetime: ServerLifetime): String =
            lifetime.toString().let { if (it.length <= MAXIMUM_ID_LENGTH) it else digest(it) }

        private fun digest(id: String): String =
            HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(id.encodeToByteArray()))

        /** Decodes [record]; null if it was deleted or is of no known kind. */
        fun decode(record: StoreRecord): CrashRecord? {
            val text = record.value?.decodeToString() ?: return null
            val crashId = record.key.removePrefix(CRASH_PREFIX)
            return when {
                record.key.startsWith(ANSWER_PREFIX) ->
                    Answer(part = record.key.removePrefix(ANSWER_PREFIX), writerId = text)
                record.key.startsWith(CRASH_PREFIX) -> Crash(
                    lifetimeId = crashId.substringBeforeLast(SEPARATOR),
                    writerId = crashId.substringAfterLast(SEPARATOR),
                    suspects = text.lines().filterTo(LinkedHashSet()) { it.isNotEmpty() },
                )
                else -> null
            }
        }
    }
}

private const val CRASH_PREFIX = "crash/"
private const val ANSWER_PREFIX = "answer/"
private const val SEPARATOR = '/'

/** Leaves half of the longest key for the writer's id. */
private const val MAXIMUM_ID_LENGTH = 120
