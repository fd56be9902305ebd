package org.bulrushtack.bench

import kotlin.random.Random

/** Generates prompts of a given size. */
object PromptGenerator {
    /** A prompt of [tokens] tokens; a random number at its start makes it unique. */
    fun generate(tokens: Int, random: Random): String {
        val prefix = "prompt ${random.nextLong()} "
        val length = maxOf(prefix.length, tokens * CompletionRequest.CHARACTERS_PER_TOKEN)
        return prefix.padEnd(length, 'x')
    }
}
