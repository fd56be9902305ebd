package org.bulrushtack.daemon.lifecycle

/** Buckets of prompt lengths, used as a metric tag. */
enum class PromptLengthBucket(
    val label: String,
    private val maximumTokens: Long,
) {
    SHORT(label = "1k", maximumTokens = 3_000),
    MEDIUM(label = "10k", maximumTokens = 30_000),
    LONG(label = "100k", maximumTokens = 300_000),
    HUGE(label = "1m", maximumTokens = Long.MAX_VALUE),
    ;

    companion object {
        /** The bucket of a prompt of [tokens] tokens. */
        fun forTokens(tokens: Long): PromptLengthBucket = entries.first { tokens <= it.maximumTokens }
    }
}
