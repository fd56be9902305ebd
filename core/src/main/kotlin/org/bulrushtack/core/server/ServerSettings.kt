package org.bulrushtack.core.server

import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema
import org.bulrushtack.core.settings.SettingsTree

/** The effective settings of one backend server; each property is named after its key in the settings tree. */
public data class ServerSettings(
    val coldConcurrency: Int,
    val warmConcurrency: Int,
    val rampMillis: Long,
    val checksFencing: Boolean,
    val longTokens: Long,
    val longSharePercent: Long,
    val prefillTokensPerSecond: Long,
    val decodeTokensPerSecond: Long,
) {
    /** The expected time for prefill and decode of a request on an engine, in milliseconds. */
    public fun expectedMillis(promptTokens: Long, answerTokens: Long): Long =
        promptTokens * MILLIS_PER_SECOND / prefillTokensPerSecond +
            answerTokens * MILLIS_PER_SECOND / decodeTokensPerSecond

    public companion object {
        /** Reads the settings at [path]. */
        public fun read(tree: SettingsTree, path: SettingsPath): ServerSettings = ServerSettings(
            coldConcurrency = tree.number(path, SettingsSchema.COLD_CONCURRENCY).toInt(),
            warmConcurrency = tree.number(path, SettingsSchema.WARM_CONCURRENCY).toInt(),
            rampMillis = tree.number(path, SettingsSchema.RAMP_SECONDS) * MILLIS_PER_SECOND,
            checksFencing = tree.resolve(path, SettingsSchema.FENCING).value == SettingsSchema.FENCING_CHECKED,
            longTokens = tree.number(path, SettingsSchema.LONG_TOKENS),
            longSharePercent = tree.number(path, SettingsSchema.LONG_SHARE_PERCENT),
            prefillTokensPerSecond = tree.number(path, SettingsSchema.PREFILL_TOKENS_PER_SECOND),
            decodeTokensPerSecond = tree.number(path, SettingsSchema.DECODE_TOKENS_PER_SECOND),
        )
    }
}

private const val MILLIS_PER_SECOND = 1_000L
