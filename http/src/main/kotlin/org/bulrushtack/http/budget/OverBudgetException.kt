package org.bulrushtack.http.budget

/** A part of a request does not fit into the memory that the process has for its connections. */
internal class OverBudgetException : RuntimeException("no memory is left for the request") {
    /** Thrown for each such request while memory is short, when a stack trace would cost as much again. */
    override fun fillInStackTrace(): Throwable = this
}
