package org.bulrushtack.http

/** Headers of a request or response; names are case-insensitive. */
public data class HttpHeaderList(
    val entries: List<Header> = emptyList(),
) {
    /** One header. */
    public data class Header(
        val name: String,
        val value: String,
    )

    /** The first value of [name], or null. */
    public fun find(name: String): String? = entries.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns the headers with one more added. */
    public fun with(name: String, value: String): HttpHeaderList =
        HttpHeaderList(entries = entries + Header(name = name, value = value))
}
