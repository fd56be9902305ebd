package org.bulrushtack.standin.service

/** One execution of an operation by the service. */
data class ServiceRun(
    val number: Long,
    val workspace: String,
    val service: String,
    val operation: String,
    val key: String,
    val atMillis: Long,
)
