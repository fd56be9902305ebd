package org.bulrushtack.daemon.lifecycle

/** Classes of prompt length, for measures. */
enum class PromptLength(
    val label: String,
    private val maximumTokens: Long,
) {
    SHORT(label = "1k", maximumTokens = 3_000),
    MEDIUM(label = "10k", maximumTokens = 30_000),
    LONG(label = "100k", maximumTokens = 300_000),
    HUGE(label = "1m", maximumTokens = Long.MAX_VALUE),
    ;

    companion object {
        /** The class of a prompt of [tokens] tokens. */
        fun of(tokens: Long): PromptLength = entries.first { tokens <= it.maximumTokens }
    }
}
