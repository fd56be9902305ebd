package org.bulrushtack.daemon.settings

import org.bulrushtack.http.HostAndPort

/** A name of lower-case letters, digits and hyphens. */
internal fun SettingsFileValidator.name(key: SettingsKey): String = validated(key) {
    if (NAME_PATTERN.matches(it)) null else "'$it' is not a name of lower-case letters, digits and '-'"
}

/** One of the strings in [choices]. */
internal fun SettingsFileValidator.choice(key: SettingsKey, choices: List<String>): String = validated(key) {
    if (it in choices) null else "'$it' is none of ${choices.joinToString()}"
}

/** A SHA-256 hash in hexadecimal digits, or an empty string. */
internal fun SettingsFileValidator.hash(key: SettingsKey): String = validated(key) {
    if (it.isEmpty() || HASH_PATTERN.matches(it)) null else "is not a SHA-256 hash in 64 hex digits"
}

/** A decimal number from 0. */
internal fun SettingsFileValidator.decimal(key: SettingsKey): Double = validated(key) { value ->
    if ((value.toDoubleOrNull() ?: -1.0) >= 0) null else "'$value' is not a number from 0"
}.toDoubleOrNull() ?: 0.0

/** A number of seconds of at least [minimumMillis], in milliseconds. */
internal fun SettingsFileValidator.millis(key: SettingsKey, minimumMillis: Long): Long = validated(key) { value ->
    val millis = (value.toDoubleOrNull() ?: 0.0) * MILLIS_PER_SECOND
    val valid = millis >= minimumMillis && millis <= MAXIMUM_MILLIS
    if (valid) null else "'$value' is not a number of seconds from ${minimumMillis / MILLIS_PER_SECOND}"
}.toDoubleOrNull()?.times(MILLIS_PER_SECOND)?.toLong() ?: minimumMillis

/** A comma-separated list of names. */
internal fun SettingsFileValidator.names(key: SettingsKey): List<String> =
    validated(key) { null }.split(',').map { it.trim() }.filter { it.isNotEmpty() }

/** A comma-separated list of IP numbers; ports are ignored. */
internal fun SettingsFileValidator.hosts(key: SettingsKey): List<String> = validated(key) { value ->
    if (split(value).all { HOST_PATTERN.matches(it) }) null else "'$value' is no list of IP numbers"
}.let { split(it) }

/** A whole number in [range]. */
internal fun SettingsFileValidator.number(key: SettingsKey, range: LongRange): Long = validated(key) { value ->
    val number = value.toLongOrNull()
    val invalid = number == null || number !in range
    if (invalid) "'$value' is not a whole number from ${range.first} to ${range.last}" else null
}.toLongOrNull() ?: range.first

/** An IP number and a port. */
internal fun SettingsFileValidator.hostAndPort(key: SettingsKey): HostAndPort {
    val text = validated(key) { if (ADDRESS_PATTERN.matches(it)) null else "'$it' is not an IP number and a port" }
    val port = text.substringAfterLast(':').toIntOrNull() ?: 0
    if (port > HIGHEST_PORT) addError(key.section, key.key, "there is no port $port")
    return HostAndPort(host = text.substringBeforeLast(':'), port = port)
}

private fun split(value: String): List<String> =
    value.split(',').map { it.trim().substringBefore(':') }.filter { it.isNotEmpty() }

private const val HIGHEST_PORT = 65_535
private const val MILLIS_PER_SECOND = 1_000.0
private const val MAXIMUM_MILLIS = 86_400_000.0
private val NAME_PATTERN = Regex("[a-z0-9][a-z0-9-]{0,62}")
private val HASH_PATTERN = Regex("[0-9a-f]{64}")
private val ADDRESS_PATTERN = Regex("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}")
private val HOST_PATTERN = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}")
