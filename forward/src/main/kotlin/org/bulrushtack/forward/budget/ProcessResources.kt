package org.bulrushtack.forward.budget

import io.netty.util.internal.PlatformDependent
import java.nio.file.Files
import java.nio.file.Path

/**
 * What the virtual machine of this process may use.
 *
 * @property heapBytes the largest heap
 * @property directBytes the most direct memory
 * @property descriptors the most open descriptors
 */
data class ProcessResources(
    val heapBytes: Long,
    val directBytes: Long,
    val descriptors: Long,
) {
    companion object {
        /** Reads the limits of this process. */
        fun current(): ProcessResources = ProcessResources(
            heapBytes = Runtime.getRuntime().maxMemory(),
            directBytes = PlatformDependent.maxDirectMemory(),
            descriptors = descriptors(),
        )

        private fun descriptors(): Long = runCatching {
            Files.readAllLines(Path.of("/proc/self/limits")).first { it.startsWith(DESCRIPTORS_LINE) }
                .removePrefix(DESCRIPTORS_LINE).trim().substringBefore(' ').toLong()
        }.getOrDefault(UNLIMITED_DESCRIPTORS)
    }
}

private const val DESCRIPTORS_LINE = "Max open files"
private const val UNLIMITED_DESCRIPTORS = 1_048_576L
