package org.bulrushtack.daemon.settings

import org.bulrushtack.http.HostAndPort

/** A name of lower-case letters, digits and hyphens. */
internal fun SettingsCheck.name(key: SettingsKey): String = checked(key) {
    if (NAME_FORM.matches(it)) null else "'$it' is not a name of lower-case letters, digits and '-'"
}

/** One of [choices]. */
internal fun SettingsCheck.choice(key: SettingsKey, choices: List<String>): String = checked(key) {
    if (it in choices) null else "'$it' is none of ${choices.joinToString()}"
}

/** A SHA-256 hash, or nothing. */
internal fun SettingsCheck.hash(key: SettingsKey): String = checked(key) {
    if (it.isEmpty() || HASH_FORM.matches(it)) null else "is not a SHA-256 hash in 64 hex digits"
}

/** A number from 0. */
internal fun SettingsCheck.decimal(key: SettingsKey): Double = checked(key) { value ->
    if ((value.toDoubleOrNull() ?: -1.0) >= 0) null else "'$value' is not a number from 0"
}.toDoubleOrNull() ?: 0.0

/** IP numbers with commas between them; a port behind one is passed over. */
internal fun SettingsCheck.hosts(key: SettingsKey): List<String> = checked(key) { value ->
    if (split(value).all { HOST_FORM.matches(it) }) null else "'$value' is no list of IP numbers"
}.let { split(it) }

/** A whole number in [range]. */
internal fun SettingsCheck.number(key: SettingsKey, range: LongRange): Long = checked(key) { value ->
    val number = value.toLongOrNull()
    val wrong = number == null || number !in range
    if (wrong) "'$value' is not a whole number from ${range.first} to ${range.last}" else null
}.toLongOrNull() ?: range.first

/** An IP number and a port. */
internal fun SettingsCheck.place(key: SettingsKey): HostAndPort {
    val text = checked(key) { if (PLACE_FORM.matches(it)) null else "'$it' is not an IP number and a port" }
    val port = text.substringAfterLast(':').toIntOrNull() ?: 0
    if (port > HIGHEST_PORT) add(key.section, key.key, "there is no port $port")
    return HostAndPort(host = text.substringBeforeLast(':'), port = port)
}

private fun split(value: String): List<String> =
    value.split(',').map { it.trim().substringBefore(':') }.filter { it.isNotEmpty() }

private const val HIGHEST_PORT = 65_535
private val NAME_FORM = Regex("[a-z0-9][a-z0-9-]{0,62}")
private val HASH_FORM = Regex("[0-9a-f]{64}")
private val PLACE_FORM = Regex("[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}")
private val HOST_FORM = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}")
