package org.bulrushtack.core.call

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.bulrushtack.core.error.ErrorKind
import java.util.UUID

/**
 * A caller's key for a call that may run at most once: a UUID of version 7, whose creation time bounds how long
 * its outcome has to be kept.
 */
public data class IdempotencyKey(
    val text: String,
    val createdAtMillis: Long,
) {
    public companion object {
        /** Parses a key; returns `KEY_MALFORMED` for any other text. */
        public fun parse(text: String): Either<ErrorKind, IdempotencyKey> {
            val normalized = text.trim().lowercase()
            if (!FORMAT.matches(normalized)) return ErrorKind.KEY_MALFORMED.left()
            val createdAtMillis = UUID.fromString(normalized).mostSignificantBits ushr TIME_SHIFT
            return IdempotencyKey(text = normalized, createdAtMillis = createdAtMillis).right()
        }

        /** Generates a key from the time in milliseconds since 1970 and 74 [random] bits in two numbers. */
        public fun generate(nowMillis: Long, random: Pair<Long, Long>): IdempotencyKey {
            val high = (nowMillis shl TIME_SHIFT) or VERSION_BITS or (random.first and VERSION_RANDOM_MASK)
            val low = VARIANT_BITS or (random.second and VARIANT_RANDOM_MASK)
            return IdempotencyKey(text = UUID(high, low).toString(), createdAtMillis = nowMillis)
        }
    }
}

private const val TIME_SHIFT = 16
private const val VERSION_BITS = 0x7000L
private const val VERSION_RANDOM_MASK = 0x0fffL
private const val VARIANT_BITS = Long.MIN_VALUE
private const val VARIANT_RANDOM_MASK = 0x3fffffffffffffffL
private val FORMAT = Regex("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")
