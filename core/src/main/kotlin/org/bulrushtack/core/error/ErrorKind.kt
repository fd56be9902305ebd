package org.bulrushtack.core.error

/**
 * All kinds of errors, each with the response that a caller gets.
 *
 * @property code the name on the wire
 * @property status the HTTP status
 * @property runState whether the request ran on a backend server
 * @property retryAdvice what the caller may do next
 * @property text one sentence that explains the error to a person
 */
public enum class ErrorKind(
    public val code: String,
    public val status: Int,
    public val runState: RunState,
    public val retryAdvice: RetryAdvice,
    public val text: String,
) {
    MALFORMED_REQUEST(
        code = "malformed-request",
        status = 400,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "The request can't be read.",
    ),
    INVALID_LIMIT(
        code = "invalid-limit",
        status = 400,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "A limit in the request is out of range.",
    ),
    KEY_MISSING(
        code = "idempotency-key-missing",
        status = 400,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "This operation may not be repeated and needs an Idempotency-Key header.",
    ),
    KEY_MALFORMED(
        code = "idempotency-key-malformed",
        status = 400,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "The Idempotency-Key is not a UUID of version 7; GET /v1/entry gives one.",
    ),
    KEY_EXPIRED(
        code = "idempotency-key-expired",
        status = 410,
        runState = RunState.UNKNOWN,
        retryAdvice = RetryAdvice.NEVER,
        text = "The Idempotency-Key is older than outcomes are kept.",
    ),
    KEY_REUSED(
        code = "idempotency-key-reused",
        status = 422,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "The Idempotency-Key stands for another request.",
    ),
    UNAUTHENTICATED(
        code = "unauthenticated",
        status = 401,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "The key is missing or wrong.",
    ),
    UNKNOWN_PATH(
        code = "unknown-path",
        status = 404,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "There is nothing at this path.",
    ),
    METHOD_NOT_ALLOWED(
        code = "method-not-allowed",
        status = 405,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "The path has no such method.",
    ),
    UNKNOWN_MODEL(
        code = "unknown-model",
        status = 404,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "No backend server serves this model.",
    ),
    UNKNOWN_SERVICE(
        code = "unknown-service",
        status = 404,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "There is no such service.",
    ),
    REQUEST_INCOMPLETE(
        code = "request-incomplete",
        status = 408,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The request stopped before its end.",
    ),
    BODY_TOO_LARGE(
        code = "body-too-large",
        status = 413,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "The body is larger than allowed.",
    ),
    HEADERS_TOO_LARGE(
        code = "headers-too-large",
        status = 431,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "The headers are larger than allowed.",
    ),
    PROMPT_TOO_LONG(
        code = "prompt-too-long",
        status = 422,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "Prompt and answer don't fit into the memory of one engine.",
    ),
    CANNOT_FINISH(
        code = "cannot-finish-in-time",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The request can't finish before its deadline.",
    ),
    WORKSPACE_LIMIT(
        code = "workspace-limit",
        status = 429,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The workspace is at its limit.",
    ),
    OVERLOADED(
        code = "overloaded",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The system has no room for the request now.",
    ),
    PROMPT_QUARANTINED(
        code = "prompt-quarantined",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "Backend servers have ended under a part of this prompt; no more of them get it for now.",
    ),
    NO_BACKEND_SERVER(
        code = "no-backend-server",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "No backend server can take it now.",
    ),
    NOT_OWNER(
        code = "not-owner",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The daemon doesn't own the backend server.",
    ),
    NOT_DISPATCHED(
        code = "not-dispatched",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The connection to the backend server could not be opened.",
    ),
    SERVERS_UNREACHABLE(
        code = "servers-unreachable",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "This daemon reaches no backend server; others do.",
    ),
    NOT_READY(
        code = "not-ready",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The daemon has no configuration yet.",
    ),
    CONFIGURATION_OUTDATED(
        code = "configuration-outdated",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The daemon knows no such route or key, and may have missed a change of its configuration.",
    ),
    DRAINING(
        code = "draining",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The daemon is shutting down.",
    ),
    CLAIM_UNAVAILABLE(
        code = "claim-unavailable",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The claim of the key could not be recorded, so the operation was not run.",
    ),
    CALL_UNDECIDED(
        code = "call-undecided",
        status = 409,
        runState = RunState.UNKNOWN,
        retryAdvice = RetryAdvice.SAME_KEY,
        text = "Another request holds the key and its outcome is not known yet.",
    ),
    ANSWER_NOT_KEPT(
        code = "answer-not-kept",
        status = 409,
        runState = RunState.YES,
        retryAdvice = RetryAdvice.NEVER,
        text = "The operation ran, but its answer was too large to keep.",
    ),
    QUEUE_TIMEOUT(
        code = "queue-timeout",
        status = 504,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The deadline passed before dispatch.",
    ),
    DEADLINE_EXCEEDED(
        code = "deadline-exceeded",
        status = 504,
        runState = RunState.UNKNOWN,
        retryAdvice = RetryAdvice.SAME_KEY,
        text = "The deadline passed.",
    ),
    BACKEND_LOST(
        code = "backend-lost",
        status = 502,
        runState = RunState.UNKNOWN,
        retryAdvice = RetryAdvice.SAME_KEY,
        text = "The backend server was lost after dispatch.",
    ),
    OUTCOME_UNKNOWN(
        code = "outcome-unknown",
        status = 502,
        runState = RunState.UNKNOWN,
        retryAdvice = RetryAdvice.NEVER,
        text = "The operation was sent once and its outcome is unknown; it is not sent again.",
    ),
    EDIT_CONFLICT(
        code = "edit-conflict",
        status = 409,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "Another edit changed a value first.",
    ),
    EDIT_INVALID(
        code = "edit-invalid",
        status = 422,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.NEVER,
        text = "The edit has a fault.",
    ),
    EDIT_UNCONFIRMED(
        code = "edit-unconfirmed",
        status = 504,
        runState = RunState.UNKNOWN,
        retryAdvice = RetryAdvice.LATER,
        text = "The edit may still be accepted; see the history.",
    ),
    LOG_UNAVAILABLE(
        code = "log-unavailable",
        status = 503,
        runState = RunState.NO,
        retryAdvice = RetryAdvice.LATER,
        text = "The platform's log can't be reached.",
    ),
    INTERNAL(
        code = "internal",
        status = 500,
        runState = RunState.UNKNOWN,
        retryAdvice = RetryAdvice.SAME_KEY,
        text = "The daemon met a fault of its own.",
    ),
    ;

    public companion object {
        private val byCode = entries.associateBy { it.code }

        /** Returns the kind with this wire name, or [INTERNAL] for a name that this version doesn't know. */
        public fun fromCode(code: String): ErrorKind = byCode[code] ?: INTERNAL
    }
}
