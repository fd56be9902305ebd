package org.bulrushtack.core.route

/** How often one attempt of a caller may run. */
public enum class Repeatability {
    /** It may run on several backend servers. */
    SAFE,

    /** It is a stream that another backend server may go on with after the last whole event. */
    RESUMABLE,

    /** It may run once at most. */
    ONCE,
}
