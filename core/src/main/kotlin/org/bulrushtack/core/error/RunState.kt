package org.bulrushtack.core.error

/** Whether a rejected or failed request ran on a backend server. */
public enum class RunState(public val wireName: String) {
    /** No byte of the request can have reached a backend server. */
    NO("no"),

    /** The request ran. */
    YES("yes"),

    /** The request may have run, in whole or in part. */
    UNKNOWN("unknown"),
}
