package org.bulrushtack.core.route

/** Whether a caller's attempt may run more than once. */
public enum class Repeatability {
    /** It may run on several backend servers. */
    SAFE,

    /** It is a stream that another backend server may resume after the last whole event. */
    RESUMABLE,

    /** It may run at most once. */
    ONCE,
}
