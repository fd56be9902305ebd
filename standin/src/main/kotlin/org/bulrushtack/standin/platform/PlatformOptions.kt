package org.bulrushtack.standin.platform

/**
 * How the platform behaves.
 *
 * @property retentionMillis how long records are kept
 * @property appendsPerSecond how many append calls it takes a second
 * @property vmLagMillis how old the VM list is
 * @property weightBytesPerSecond how fast the weight store reads
 */
data class PlatformOptions(
    val retentionMillis: Long = 86_400_000,
    val appendsPerSecond: Int = 400,
    val vmLagMillis: Long = 2_000,
    val weightBytesPerSecond: Long = 10_000_000,
)
