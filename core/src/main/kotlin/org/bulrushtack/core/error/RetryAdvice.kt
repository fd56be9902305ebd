package org.bulrushtack.core.error

/** What a caller may do after an error. */
public enum class RetryAdvice(public val wireName: String) {
    /** The same request fails again. */
    NEVER("never"),

    /** The same request may be sent again after a delay. */
    LATER("later"),

    /** Retry only with the same idempotency key, which returns the first outcome once it is known. */
    SAME_KEY("same-key"),
}
