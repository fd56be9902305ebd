package org.bulrushtack.standin.service

/** One run of an operation, as the service took it. */
data class ServiceRun(
    val number: Long,
    val workspace: String,
    val service: String,
    val operation: String,
    val key: String,
    val atMillis: Long,
)
