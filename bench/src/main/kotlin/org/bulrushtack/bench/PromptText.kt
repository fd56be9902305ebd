package org.bulrushtack.bench

import kotlin.random.Random

/** Makes prompts. */
object PromptText {
    /** A prompt of [tokens] tokens that differs from all others. */
    fun make(tokens: Int, random: Random): String {
        val head = "prompt ${random.nextLong()} "
        val length = maxOf(head.length, tokens * CompletionLoad.CHARACTERS_PER_TOKEN)
        return head.padEnd(length, 'x')
    }
}
